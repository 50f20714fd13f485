package measure

import (
	"fmt"
	"math"
	"os"
	"strings"
)

// Geometry of the drawing in pixels: one panel for each operator (columns) and fault (rows).
const (
	panelWidth, panelHeight = 420, 250
	marginLeft, marginTop   = 70, 50
	gapX, gapY              = 80, 70
)

// Ranges of the two logarithmic axes: false ejections per day, and detection time in seconds. The
// points are labeled with falseEjectionEveryHours.
const (
	minPerDay, maxPerDay   = 0.1, 10_000.0
	minSeconds, maxSeconds = 0.05, 100.0
)

var policyColors = map[PolicyName]string{
	CellPolicy: "#1f5fa8", RoundRobin: "#8a8a8a", LeastInFlight: "#b8860b", Consecutive5: "#b03030", Sweep10s: "#3a7d44",
}

// avoidedColor is the color of the points for false avoidances.
const avoidedColor = "#7fb0e6"

// svg builds the drawing.
type svg struct{ strings.Builder }

// printf appends formatted text. Writing to a strings.Builder does not fail.
func (s *svg) printf(format string, values ...any) { _, _ = fmt.Fprintf(s, format, values...) }

func (s *svg) text(x, y float64, anchor, text string) {
	s.printf("<text x=\"%.1f\" y=\"%.1f\" text-anchor=\"%s\">%s</text>\n", x, y, anchor, text)
}

func (s *svg) line(x1, y1, x2, y2 float64, color string) {
	s.printf("<line x1=\"%.1f\" y1=\"%.1f\" x2=\"%.1f\" y2=\"%.1f\" stroke=\"%s\"/>\n", x1, y1, x2, y2, color)
}

// mark draws a point. A hollow point is an upper limit.
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
	return p.left + panelWidth*logPosition(perDay, minPerDay, maxPerDay)
}

func (p panel) y(seconds float64) float64 {
	return p.top + panelHeight*(1-logPosition(seconds, minSeconds, maxSeconds))
}

// logPosition returns the position of v between lower and upper on a logarithmic scale, 0 to 1.
func logPosition(v, lower, upper float64) float64 {
	v = min(max(v, lower), upper)
	return math.Log(v/lower) / math.Log(upper/lower)
}

// WriteSVG writes a drawing of detection time against false ejections to the file path.
func WriteSVG(path string, points []CurvePoint) error {
	operators := []Operator{Kiesbank, Kruzes}
	s := &svg{}
	width := marginLeft + len(operators)*(panelWidth+gapX)
	height := marginTop + len(curveFaults)*(panelHeight+gapY) + 40
	s.printf("<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"%d\" height=\"%d\" font-family=\"sans-serif\" font-size=\"11\">\n", width, height)
	s.printf("<rect width=\"%d\" height=\"%d\" fill=\"white\"/>\n", width, height)
	for column, operator := range operators {
		for row, fault := range curveFaults {
			p := panel{marginLeft + float64(column*(panelWidth+gapX)), marginTop + float64(row*(panelHeight+gapY))}
			s.axes(p, fmt.Sprintf("%s, %s by day", operator, fault))
			s.points(p, points, operator, fault)
		}
	}
	s.legend(float64(height - 15))
	s.WriteString("</svg>\n")
	return Error.Wrap(os.WriteFile(path, []byte(s.String()), 0o644))
}

func (s *svg) axes(p panel, title string) {
	s.text(p.left+panelWidth/2, p.top-10, "middle", title)
	bottom := p.top + panelHeight
	for v := minPerDay; v <= maxPerDay*1.01; v *= 10 {
		s.line(p.x(v), p.top, p.x(v), bottom, "#e5e5e5")
		s.text(p.x(v), bottom+14, "middle", fmt.Sprintf("%g", math.Round(v*10)/10))
	}
	for v := 0.1; v <= maxSeconds*1.01; v *= 10 {
		s.line(p.left, p.y(v), p.left+panelWidth, p.y(v), "#e5e5e5")
		s.text(p.left-6, p.y(v)+4, "end", fmt.Sprintf("%g", math.Round(v*10)/10))
	}
	s.line(p.left, bottom, p.left+panelWidth, bottom, "black")
	s.line(p.left, p.top, p.left, bottom, "black")
	s.text(p.left+panelWidth/2, bottom+28, "middle", "false ejections or avoidances per day (hollow: none seen, 95% limit)")
	s.printf("<text transform=\"translate(%.1f %.1f) rotate(-90)\" text-anchor=\"middle\">median detection time in s</text>\n",
		p.left-40, p.top+panelHeight/2)
}

// points draws the points of one panel. The points for false ejections are joined by a solid line, and
// those for avoidances, which are more frequent and cost less, by a dashed one.
func (s *svg) points(p panel, points []CurvePoint, operator Operator, fault FaultName) {
	var ejected, avoided []string
	for _, o := range points {
		if o.Operator != operator || o.Fault != fault {
			continue
		}
		perDay := o.FalseEjectionsPerDay
		if perDay == 0 {
			perDay = o.UpperLimitPerDay
		}
		x, y := p.x(perDay), p.y(o.DetectionSeconds)
		s.mark(x, y, policyColors[o.Policy], o.FalseEjectionsPerDay == 0)
		if o.SettingHours == 0 {
			continue
		}
		ejected = append(ejected, fmt.Sprintf("%.1f,%.1f", x, y))
		x = p.x(o.FalseAvoidancesPerDay)
		s.mark(x, y, avoidedColor, false)
		s.text(x+6, y-4, "start", fmt.Sprintf("%g h", o.SettingHours))
		avoided = append(avoided, fmt.Sprintf("%.1f,%.1f", x, y))
	}
	s.polyline(ejected, policyColors[CellPolicy], "none")
	s.polyline(avoided, avoidedColor, "4 3")
}

func (s *svg) polyline(path []string, color, dashes string) {
	s.printf("<polyline points=\"%s\" fill=\"none\" stroke=\"%s\" stroke-dasharray=\"%s\"/>\n", strings.Join(path, " "), color, dashes)
}

func (s *svg) legend(y float64) {
	x := float64(marginLeft)
	for _, n := range append([]PolicyName{CellPolicy}, Baselines...) {
		s.mark(x, y-4, policyColors[n], false)
		s.text(x+8, y, "start", string(n))
		x += 120
	}
	s.mark(x, y-4, avoidedColor, false)
	s.text(x+8, y, "start", "own, avoidances")
	x += 130
	s.text(x, y, "start", "60 s: never detected")
}
