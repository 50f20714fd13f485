package measure

import (
	"fmt"
	"math"
	"os"
	"strings"
)

// Geometry of the drawing, in pixels: one panel per firm (columns) and fault (rows).
const (
	panelWidth, panelHeight = 420, 250
	marginLeft, marginTop   = 70, 50
	gapX, gapY              = 80, 70
)

// Axes, both logarithmic: false ejections per day against seconds.
const (
	leastPerDay, mostPerDay   = 0.1, 1_000.0
	leastSeconds, mostSeconds = 0.05, 100.0
)

var policyColors = map[PolicyName]string{
	Own: "#1f5fa8", RoundRobin: "#8a8a8a", LeastInFlight: "#b8860b", Consecutive5: "#b03030", Sweep10s: "#3a7d44",
}

// svg builds the drawing.
type svg struct{ strings.Builder }

// printf writes to memory, which doesn't fail.
func (s *svg) printf(format string, values ...any) { _, _ = fmt.Fprintf(s, format, values...) }

func (s *svg) text(x, y float64, anchor, text string) {
	s.printf("<text x=\"%.1f\" y=\"%.1f\" text-anchor=\"%s\">%s</text>\n", x, y, anchor, text)
}

func (s *svg) line(x1, y1, x2, y2 float64, color string) {
	s.printf("<line x1=\"%.1f\" y1=\"%.1f\" x2=\"%.1f\" y2=\"%.1f\" stroke=\"%s\"/>\n", x1, y1, x2, y2, color)
}

// mark draws a point; a hollow one stands for an upper limit.
func (s *svg) mark(x, y float64, color string, hollow bool) {
	fill := color
	if hollow {
		fill = "white"
	}
	s.printf("<circle cx=\"%.1f\" cy=\"%.1f\" r=\"4\" fill=\"%s\" stroke=\"%s\"/>\n", x, y, fill, color)
}

// panel is one pair of axes.
type panel struct{ left, top float64 }

func (p panel) x(perDay float64) float64 {
	return p.left + panelWidth*share(perDay, leastPerDay, mostPerDay)
}

func (p panel) y(seconds float64) float64 {
	return p.top + panelHeight*(1-share(seconds, leastSeconds, mostSeconds))
}

// share returns where v lies between least and most on a logarithmic scale, 0 to 1.
func share(v, least, most float64) float64 {
	v = min(max(v, least), most)
	return math.Log(v/least) / math.Log(most/least)
}

// WriteSVG draws detection time against false ejections.
func WriteSVG(path string, points []Point) error {
	firms := []Firm{Kiesbank, Kruzes}
	s := &svg{}
	width := marginLeft + len(firms)*(panelWidth+gapX)
	height := marginTop + len(curveFaults)*(panelHeight+gapY) + 40
	s.printf("<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"%d\" height=\"%d\" font-family=\"sans-serif\" font-size=\"11\">\n", width, height)
	s.printf("<rect width=\"%d\" height=\"%d\" fill=\"white\"/>\n", width, height)
	for column, firm := range firms {
		for row, fault := range curveFaults {
			p := panel{marginLeft + float64(column*(panelWidth+gapX)), marginTop + float64(row*(panelHeight+gapY))}
			s.axes(p, fmt.Sprintf("%s, %s by day", firm, fault))
			s.points(p, points, firm, fault)
		}
	}
	s.legend(float64(height - 15))
	s.WriteString("</svg>\n")
	return Error.Wrap(os.WriteFile(path, []byte(s.String()), 0o644))
}

func (s *svg) axes(p panel, title string) {
	s.text(p.left+panelWidth/2, p.top-10, "middle", title)
	bottom := p.top + panelHeight
	for v := leastPerDay; v <= mostPerDay*1.01; v *= 10 {
		s.line(p.x(v), p.top, p.x(v), bottom, "#e5e5e5")
		s.text(p.x(v), bottom+14, "middle", fmt.Sprintf("%g", math.Round(v*10)/10))
	}
	for v := 0.1; v <= mostSeconds*1.01; v *= 10 {
		s.line(p.left, p.y(v), p.left+panelWidth, p.y(v), "#e5e5e5")
		s.text(p.left-6, p.y(v)+4, "end", fmt.Sprintf("%g", math.Round(v*10)/10))
	}
	s.line(p.left, bottom, p.left+panelWidth, bottom, "black")
	s.line(p.left, p.top, p.left, bottom, "black")
	s.text(p.left+panelWidth/2, bottom+28, "middle", "false ejections per day (hollow: none seen, 95% limit)")
	s.printf("<text transform=\"translate(%.1f %.1f) rotate(-90)\" text-anchor=\"middle\">median detection time in s</text>\n",
		p.left-40, p.top+panelHeight/2)
}

// points draws one panel's points and joins those of the own policy.
func (s *svg) points(p panel, points []Point, firm Firm, fault FaultName) {
	var path []string
	for _, o := range points {
		if o.Firm != firm || o.Fault != fault {
			continue
		}
		perDay := o.FalsePerDay
		if perDay == 0 {
			perDay = o.UpperPerDay
		}
		x, y := p.x(perDay), p.y(o.Seconds)
		s.mark(x, y, policyColors[o.Policy], o.FalsePerDay == 0)
		if o.Hours > 0 {
			s.text(x+6, y-4, "start", fmt.Sprintf("%g h", o.Hours))
			path = append(path, fmt.Sprintf("%.1f,%.1f", x, y))
		}
	}
	s.printf("<polyline points=\"%s\" fill=\"none\" stroke=\"%s\"/>\n", strings.Join(path, " "), policyColors[Own])
}

func (s *svg) legend(y float64) {
	x := float64(marginLeft)
	for _, n := range append([]PolicyName{Own}, Baselines...) {
		s.mark(x, y-4, policyColors[n], false)
		s.text(x+8, y, "start", string(n))
		x += 120
	}
	s.text(x, y, "start", "labels: falseEjectionEveryHours; 60 s means never detected")
}
