package soak

import (
	"fmt"
	"io"
	"maps"
	"slices"
)

// Print writes a report: what the run was, what happened in it, and what was found.
func (r *Report) Print(out io.Writer) {
	shape := r.Plan.Shape
	kind := "topics"
	if shape.Queue {
		kind = "queue"
	}
	if shape.Tenants {
		kind += " with tenants"
	}
	if shape.Planned {
		kind += ", planned work alone"
	}
	fmt.Fprintf(out, "seed=%d kind=%q zones=%d troubles=%d took=%.0fs violations=%d\n",
		shape.Seed, kind, shape.Zones, len(r.Plan.Troubles), r.Took.Seconds(), len(r.Violations))
	printCounts(out, r.Counts)
	for _, v := range r.Violations {
		fmt.Fprintf(out, "  %s\n", v)
	}
}

func printCounts(out io.Writer, counts map[string]int) {
	for _, what := range slices.Sorted(maps.Keys(counts)) {
		fmt.Fprintf(out, "  %7d %s\n", counts[what], what)
	}
}

// Sum adds up the reports of several runs.
type Sum struct {
	Runs, Failed int
	Seconds      float64
	Counts       map[string]int
}

// Add adds a report.
func (s *Sum) Add(r *Report) {
	if s.Counts == nil {
		s.Counts = map[string]int{}
	}
	s.Runs++
	if len(r.Violations) > 0 {
		s.Failed++
	}
	s.Seconds += r.Took.Seconds()
	for what, n := range r.Counts {
		s.Counts[what] += n
	}
}

// Print writes the sum.
func (s *Sum) Print(out io.Writer) {
	fmt.Fprintf(out, "runs=%d with_findings=%d took=%.0fs\n", s.Runs, s.Failed, s.Seconds)
	printCounts(out, s.Counts)
}
