package trace

import (
	"encoding/xml"
	"fmt"
	"io"
	"strings"
	"time"
)

const (
	drawingWidth = 1000
	laneWidth    = 180 // for the names of lanes
	laneHeight   = 34
	headHeight   = 40
	minimumSpan  = time.Millisecond
)

// bar is a span of time of the request in one lane.
type bar struct {
	lane     string
	from, to time.Time
	color    string
	label    string
}

// Draw writes the way of the request as an SVG picture: a lane for each process and target, bars for the time it spent
// there, ticks for what happened around it.
func (t *Trace) Draw(out io.Writer) error {
	bars := t.bars()
	lanes := map[string]int{}
	var names []string
	lane := func(name string) {
		if _, ok := lanes[name]; !ok {
			lanes[name] = len(names)
			names = append(names, name)
		}
	}
	for _, b := range bars {
		lane(b.lane)
	}
	for _, l := range t.around {
		lane(laneOf(l))
	}
	from, to := t.begun(), t.ended()
	if len(t.around) > 0 && t.around[0].at.Before(from) {
		from = t.around[0].at
	}
	scale := float64(drawingWidth-laneWidth-20) / float64(max(minimumSpan, to.Sub(from)))
	x := func(at time.Time) float64 { return laneWidth + scale*float64(at.Sub(from)) }
	var b strings.Builder
	fmt.Fprintf(&b, `<svg xmlns="http://www.w3.org/2000/svg" width="%d" height="%d" font-family="sans-serif" font-size="11">`+"\n",
		drawingWidth, headHeight+len(names)*laneHeight+10)
	fmt.Fprintln(&b, `<rect width="100%" height="100%" fill="white"/>`)
	fmt.Fprintf(&b, `<text x="4" y="16">request %s: %s after %s</text>`+"\n", escaped(t.request), escaped(t.end()), to.Sub(t.begun()).Round(time.Millisecond))
	for _, at := range []time.Time{t.begun(), to} {
		fmt.Fprintf(&b, `<text x="%.1f" y="%d" text-anchor="middle" fill="#666">%d ms</text>`+"\n", x(at), headHeight-4, at.Sub(t.begun()).Milliseconds())
	}
	for number, name := range names {
		y := headHeight + number*laneHeight
		fmt.Fprintf(&b, `<text x="4" y="%d">%s</text><line x1="%d" y1="%d" x2="%d" y2="%d" stroke="#ddd"/>`+"\n",
			y+18, escaped(name), laneWidth, y+laneHeight-4, drawingWidth-10, y+laneHeight-4)
	}
	for _, r := range bars {
		y := headHeight + lanes[r.lane]*laneHeight
		fmt.Fprintf(&b, `<rect x="%.1f" y="%d" width="%.1f" height="18" fill="%s"><title>%s</title></rect>`+"\n",
			x(r.from), y+4, max(1, x(r.to)-x(r.from)), r.color, escaped(r.label))
		fmt.Fprintf(&b, `<text x="%.1f" y="%d">%s</text>`+"\n", x(r.from)+3, y+17, escaped(shortened(r.label)))
	}
	for _, l := range t.around {
		y := headHeight + lanes[laneOf(l)]*laneHeight
		fmt.Fprintf(&b, `<line x1="%.1f" y1="%d" x2="%.1f" y2="%d" stroke="#c00"><title>%d ms: %s %s</title></line>`+"\n",
			x(l.at), y+2, x(l.at), y+24, l.at.Sub(t.begun()).Milliseconds(), escaped(l.text), escaped(l.inputs()))
		fmt.Fprintf(&b, `<text x="%.1f" y="%d" font-size="9" fill="#c00">%s</text>`+"\n", x(l.at)+2, y+laneHeight-6, escaped(l.text))
	}
	fmt.Fprintln(&b, "</svg>")
	_, err := io.WriteString(out, b.String())
	return err
}

// bars returns the spans that the request's lines tell: waiting at a gateway, each attempt at a target, the answer.
func (t *Trace) bars() []bar {
	var bars []bar
	var began time.Time
	for _, l := range t.own {
		sent := l.at.Add(-l.ms("took-ms"))
		switch target := l.field("target"); {
		case l.text == "answer begins":
			bars = append(bars,
				bar{l.node, sent.Add(-l.ms("waited-ms")), sent, "#f3d9a4", "waits " + l.ms("waited-ms").String()},
				bar{"target " + target, sent, l.at, "#a9c7e8", "first byte after " + l.ms("took-ms").String()})
			began = l.at
		case l.text == "answer ends" && !began.IsZero():
			bars = append(bars, bar{"target " + target, began, l.at, "#b5dcb1", "answer, longest pause " + l.ms("longest-gap-ms").String()})
		case target != "":
			bars = append(bars, bar{"target " + target, sent, l.at, "#e8b0a9", l.text})
		default:
			bars = append(bars, bar{l.node, sent, l.at, "#e8b0a9", l.text})
		}
	}
	return bars
}

// laneOf returns the lane of a line that is not about the request.
func laneOf(l line) string {
	if target := l.field("target"); target != "" {
		return "target " + target
	}
	return l.node
}

func shortened(text string) string {
	const most = 60
	if len(text) > most {
		return text[:most]
	}
	return text
}

func escaped(text string) string {
	var b strings.Builder
	_ = xml.EscapeText(&b, []byte(text)) // writes to memory do not fail
	return b.String()
}
