package pool

import (
	"time"

	"github.com/bilberrywood/bilberrywood/table"
)

// maxTimedRoutes bounds the routes whose service times are kept; beyond it they are learned anew.
const maxTimedRoutes = 4096

const (
	// timelyDeviations is how many mean deviations above the mean few service times exceed.
	timelyDeviations = 2
	// startDeviations is how many more than the mean must be left to a request that is started while others wait.
	startDeviations = 0.5
)

// routeTime is the mean service time of a route and the mean deviation from it. The mean of all routes would hide that one
// takes several times as long as another.
type routeTime struct {
	mean, deviation time.Duration
}

// routeTimes are the service times by route.
type routeTimes map[table.RouteName]routeTime

// observe adds the service time of a response.
func (m *routeTimes) observe(route table.RouteName, service time.Duration) {
	t, known := (*m)[route]
	if !known {
		if *m == nil || len(*m) >= maxTimedRoutes {
			*m = make(routeTimes)
		}
		(*m)[route] = routeTime{mean: service, deviation: service / 2}
		return
	}
	off := service - t.mean
	t.mean += time.Duration(float64(off) * serviceTimeSmoothing)
	t.deviation += time.Duration(float64(max(off, -off)-t.deviation) * serviceTimeSmoothing)
	(*m)[route] = t
}

// observeRouteTime adds the service time of a response to the request.
func (c *Cell) observeRouteTime(r *request, service time.Duration) {
	if c.byPriority() {
		c.queue.routeTimes.observe(r.Route, service)
	}
}

// routeTime returns the service times of the request's route. A route without responses is taken for an average one.
func (c *Cell) routeTime(r *request) routeTime {
	if c.byPriority() {
		if t, known := c.queue.routeTimes[r.Route]; known {
			return t
		}
	}
	return routeTime{mean: c.queue.meanServiceTime}
}

// expectedServiceTime returns how long an attempt of the request is likely to occupy a slot; 0 if nothing is known.
func (c *Cell) expectedServiceTime(r *request) time.Duration { return c.routeTime(r).mean }

// timelyServiceTime returns the time that few attempts of requests like this one exceed.
func (c *Cell) timelyServiceTime(r *request) time.Duration {
	t := c.routeTime(r)
	return t.mean + timelyDeviations*t.deviation
}
