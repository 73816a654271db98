package main

import "strings"

// maxOutput bounds what is kept of one test's output: its last bytes.
const maxOutput = 1 << 20

// racedOutside is what the testing package says when a race was found that belongs
// to no test.
const racedOutside = "race detected outside of test execution"

// tail holds the last lines of an output.
type tail struct {
	lines []string
	bytes int
	cut   bool
}

func (t *tail) add(line string) {
	t.lines = append(t.lines, line)
	t.bytes += len(line)
	for t.bytes > maxOutput && len(t.lines) > 1 {
		t.bytes -= len(t.lines[0])
		t.lines = t.lines[1:]
		t.cut = true
	}
}

func (t *tail) String() string {
	text := strings.Join(t.lines, "")
	if t.cut {
		return "(earlier output is left out)\n" + text
	}
	return text
}

// add keeps output of a test, or of the package as a whole.
func (p *packageRun) add(test, output string) {
	t := p.output[test]
	if t == nil {
		t = &tail{}
		p.output[test] = t
	}
	t.add(output)
}

// forget lets go of the output of a test that did not fail.
func (p *packageRun) forget(test string) { delete(p.output, test) }

// outputOf gives the output of a test and of its subtests that did not pass.
func (p *packageRun) outputOf(test string) string {
	text := p.outputOfOne(test)
	if test == "" {
		return text
	}
	for _, other := range p.order {
		if strings.HasPrefix(other, test+"/") {
			text += p.outputOfOne(other)
		}
	}
	return text
}

func (p *packageRun) outputOfOne(test string) string {
	if t := p.output[test]; t != nil {
		return t.String()
	}
	return ""
}

// unfinished lists the tests and subtests that began and of which no end was told.
func (p *packageRun) unfinished() (tests []string) {
	ended := map[string]bool{}
	for _, test := range p.failed {
		ended[test] = true
	}
	for _, test := range p.order {
		top, _, _ := strings.Cut(test, "/")
		if !ended[top] && p.output[test] != nil {
			tests = append(tests, test)
		}
	}
	return tests
}

// summary gives the lines of the package itself that begin in one of these ways.
func (p *packageRun) summary(prefixes ...string) (text string) {
	if p.output[""] == nil {
		return ""
	}
	for _, line := range p.output[""].lines {
		for _, prefix := range prefixes {
			if strings.HasPrefix(line, prefix) {
				text += line
			}
		}
	}
	return text
}

// racedOutsideTests tells whether the race detector found what no test is blamed for.
func (p *packageRun) racedOutsideTests() bool {
	return strings.Contains(p.outputOfOne(""), racedOutside)
}

// isProgress tells lines that say how a test goes on from those of its own.
func isProgress(line string) bool {
	for _, prefix := range []string{"=== RUN", "=== PAUSE", "=== CONT", "=== NAME"} {
		if strings.HasPrefix(line, prefix) {
			return true
		}
	}
	return false
}

// indent moves lines away from the margin, where a reader looks for failures that count.
func indent(text string) string {
	if text == "" {
		return ""
	}
	return "    " + strings.ReplaceAll(strings.TrimSuffix(text, "\n"), "\n", "\n    ") + "\n"
}
