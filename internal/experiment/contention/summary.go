package contention

import (
	"fmt"
	"io"
	"slices"
	"time"

	"rosemarylb"

	"github.com/cockroachdb/errors"
)

const percent = 100

// Counts are the fates of a set of requests.
type Counts struct {
	// Served counts the answers of full worth.
	Served int
	// Late counts the answers of less worth.
	Late int
	// Refused counts the requests without an answer.
	Refused int
	// Worth is the sum of the worth of the answers.
	Worth float64
	// P99 is the 99th percentile of the time from the first attempt to the answer.
	P99 time.Duration
}

// Offered returns the number of requests.
func (c Counts) Offered() int {
	return c.Served + c.Late + c.Refused
}

// WorthPercent returns the worth in percent of that of all requests answered in time.
func (c Counts) WorthPercent() float64 {
	return c.Worth / float64(max(c.Offered(), 1)) * percent
}

// Count counts the fates of the operations for which include is true.
func Count(operations []Operation, r Rules, include func(Operation) bool) Counts {
	var c Counts
	var latencies []time.Duration
	for _, o := range operations {
		if !include(o) {
			continue
		}
		worth := o.Worth(r)
		c.Worth += worth
		switch {
		case !o.Answered:
			c.Refused++
			continue
		case worth < 1:
			c.Late++
		default:
			c.Served++
		}
		latencies = append(latencies, o.EndedAt-o.At)
	}
	if len(latencies) > 0 {
		slices.Sort(latencies)
		c.P99 = latencies[len(latencies)*99/percent]
	}
	return c
}

// Sizes of the drawing in pixels.
const (
	secondWidth  = 5
	chartHeight  = 60
	chartGap     = 24
	legendHeight = 40
)

// WriteSVG draws the fates of the requests by team and rank over the time of their
// arrival. Each chart is scaled to its busiest second.
func WriteSVG(out io.Writer, title string, l Load, r Rules, operations []Operation) error {
	seconds := int(l.Span / time.Second)
	width := rosemarylb.RankCount * (seconds*secondWidth + chartGap)
	height := legendHeight + len(l.Teams)*(chartHeight+chartGap)
	d := &drawing{
		out: out,
	}
	d.printf(`<svg xmlns="http://www.w3.org/2000/svg" width="%d" height="%d" font-family="sans-serif" font-size="11">`,
		width, height)
	d.printf(`<rect width="%d" height="%d" fill="white"/>`, width, height)
	d.printf(`<text x="4" y="14">%s: served (green), late (orange), refused (red) by second of arrival</text>`, title)
	for team := range l.Teams {
		for rank := range rosemarylb.Rank(rosemarylb.RankCount) {
			x := int(rank) * (seconds*secondWidth + chartGap)
			y := legendHeight + team*(chartHeight+chartGap)
			d.printf(`<text x="%d" y="%d">%s %s</text>`, x+4, y-4, l.Teams[team].Name, rank)
			bySecond := make([]Counts, seconds)
			for second := range bySecond {
				bySecond[second] = Count(operations, r, func(o Operation) bool {
					return o.Team == team && o.Rank == rank && int(o.At/time.Second) == second
				})
			}
			d.chart(x, y, bySecond)
		}
	}
	d.printf(`</svg>`)
	return errors.Wrap(d.err, "write the drawing")
}

// drawing writes the elements of an SVG file and keeps the first error.
type drawing struct {
	out io.Writer
	err error
}

func (d *drawing) printf(format string, values ...any) {
	if d.err == nil {
		_, d.err = fmt.Fprintf(d.out, format+"\n", values...)
	}
}

// chart draws one bar for each second.
func (d *drawing) chart(x, y int, bySecond []Counts) {
	most := 1
	for _, c := range bySecond {
		most = max(most, c.Offered())
	}
	d.printf(`<text x="%d" y="%d" fill="grey">%d/s</text>`, x+len(bySecond)*secondWidth-30, y-4, most)
	for second, c := range bySecond {
		bottom := float64(y + chartHeight)
		for _, part := range []struct {
			count  int
			colour string
		}{{c.Served, "#2a9d4a"}, {c.Late, "#f2a03d"}, {c.Refused, "#d03b3b"}} {
			size := float64(part.count*chartHeight) / float64(most)
			bottom -= size
			if part.count > 0 {
				d.printf(`<rect x="%d" y="%.1f" width="%d" height="%.1f" fill="%s"/>`,
					x+second*secondWidth, bottom, secondWidth-1, size, part.colour)
			}
		}
	}
}
