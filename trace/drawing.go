package trace

import (
	"encoding/xml"
	"fmt"
	"io"
	"strings"
	"time"
)

const (
	// The sizes are in pixels.
	drawingWidth  = 1000
	laneNameWidth = 180
	laneHeight    = 34
	headerHeight  = 40

	// minimumSpan is the shortest time that the width of a drawing covers.
	minimumSpan = time.Millisecond
)

// bar is a time span of the request, drawn in the lane of a process or target.
type bar struct {
	lane     string
	from, to time.Time
	color    string
	label    string
}

// Draw writes the trace as an SVG drawing, with a lane for each process and target, bars for the time that the request
// spent there, and ticks for the related lines.
func (t *Trace) Draw(out io.Writer) error {
	bars := t.bars()
	laneIndex := map[string]int{}
	var laneNames []string
	addLane := func(name string) {
		if _, ok := laneIndex[name]; !ok {
			laneIndex[name] = len(laneNames)
			laneNames = append(laneNames, name)
		}
	}
	for _, b := range bars {
		addLane(b.lane)
	}
	for _, l := range t.relatedLines {
		addLane(laneOf(l))
	}
	start, end := t.startTime(), t.endTime()
	if len(t.relatedLines) > 0 && t.relatedLines[0].time.Before(start) {
		start = t.relatedLines[0].time
	}
	pxPerNs := float64(drawingWidth-laneNameWidth-20) / float64(max(minimumSpan, end.Sub(start)))
	x := func(at time.Time) float64 { return laneNameWidth + pxPerNs*float64(at.Sub(start)) }
	var svg strings.Builder
	fmt.Fprintf(&svg, `<svg xmlns="http://www.w3.org/2000/svg" width="%d" height="%d" font-family="sans-serif" font-size="11">`+"\n",
		drawingWidth, headerHeight+len(laneNames)*laneHeight+10)
	fmt.Fprintln(&svg, `<rect width="100%" height="100%" fill="white"/>`)
	fmt.Fprintf(&svg, `<text x="4" y="16">request %s: %s after %s</text>`+"\n", escapeXML(t.request), escapeXML(t.outcome()), end.Sub(t.startTime()).Round(time.Millisecond))
	for _, at := range []time.Time{t.startTime(), end} {
		fmt.Fprintf(&svg, `<text x="%.1f" y="%d" text-anchor="middle" fill="#666">%d ms</text>`+"\n", x(at), headerHeight-4, at.Sub(t.startTime()).Milliseconds())
	}
	for index, name := range laneNames {
		y := headerHeight + index*laneHeight
		fmt.Fprintf(&svg, `<text x="4" y="%d">%s</text><line x1="%d" y1="%d" x2="%d" y2="%d" stroke="#ddd"/>`+"\n",
			y+18, escapeXML(name), laneNameWidth, y+laneHeight-4, drawingWidth-10, y+laneHeight-4)
	}
	for _, span := range bars {
		y := headerHeight + laneIndex[span.lane]*laneHeight
		fmt.Fprintf(&svg, `<rect x="%.1f" y="%d" width="%.1f" height="18" fill="%s"><title>%s</title></rect>`+"\n",
			x(span.from), y+4, max(1, x(span.to)-x(span.from)), span.color, escapeXML(span.label))
		fmt.Fprintf(&svg, `<text x="%.1f" y="%d">%s</text>`+"\n", x(span.from)+3, y+17, escapeXML(truncateLabel(span.label)))
	}
	for _, l := range t.relatedLines {
		y := headerHeight + laneIndex[laneOf(l)]*laneHeight
		fmt.Fprintf(&svg, `<line x1="%.1f" y1="%d" x2="%.1f" y2="%d" stroke="#c00"><title>%d ms: %s %s</title></line>`+"\n",
			x(l.time), y+2, x(l.time), y+24, l.time.Sub(t.startTime()).Milliseconds(), escapeXML(l.message), escapeXML(l.inputs()))
		fmt.Fprintf(&svg, `<text x="%.1f" y="%d" font-size="9" fill="#c00">%s</text>`+"\n", x(l.time)+2, y+laneHeight-6, escapeXML(l.message))
	}
	fmt.Fprintln(&svg, "</svg>")
	_, err := io.WriteString(out, svg.String())
	return err
}

// bars returns the time spans from the lines about the request: waiting at a gateway, each attempt at a target, and the
// answer.
func (t *Trace) bars() []bar {
	var bars []bar
	var answerStart time.Time
	for _, l := range t.requestLines {
		sent := l.time.Add(-l.duration("took-ms"))
		switch target := l.field("target"); {
		case l.message == "answer begins":
			bars = append(bars,
				bar{l.node, sent.Add(-l.duration("waited-ms")), sent, "#f3d9a4", "waits " + l.duration("waited-ms").String()},
				bar{"target " + target, sent, l.time, "#a9c7e8", "first byte after " + l.duration("took-ms").String()})
			answerStart = l.time
		case l.message == "answer ends" && !answerStart.IsZero():
			bars = append(bars, bar{"target " + target, answerStart, l.time, "#b5dcb1", "answer, longest pause " + l.duration("longest-gap-ms").String()})
		case target != "":
			bars = append(bars, bar{"target " + target, sent, l.time, "#e8b0a9", l.message})
		default:
			bars = append(bars, bar{l.node, sent, l.time, "#e8b0a9", l.message})
		}
	}
	return bars
}

// laneOf returns the lane of a related line: that of its target, or else that of the process that logged it.
func laneOf(l logLine) string {
	if target := l.field("target"); target != "" {
		return "target " + target
	}
	return l.node
}

func truncateLabel(text string) string {
	const maxLabelBytes = 60
	if len(text) > maxLabelBytes {
		return text[:maxLabelBytes]
	}
	return text
}

func escapeXML(text string) string {
	var b strings.Builder
	_ = xml.EscapeText(&b, []byte(text)) // writes to memory do not fail
	return b.String()
}
