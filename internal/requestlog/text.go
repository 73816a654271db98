package requestlog

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"

	"oxbowdeck/internal/errs"
	"oxbowdeck/internal/ids"
	"oxbowdeck/internal/invariant"
)

// Path is where a process serves its records, beside its metrics.
const Path = "/v1/requests"

// line is a record as it is written: one JSON object a line.
type line struct {
	At       int64          `json:"at_unix_ms"`
	Stage    Stage          `json:"stage"`
	ID       string         `json:"id"`
	Node     ids.Node       `json:"node"`
	Topic    ids.Topic      `json:"topic,omitempty"`
	Group    ids.Group      `json:"group"`
	Epoch    uint64         `json:"epoch,omitempty"`
	Release  int64          `json:"release,omitempty"`
	Position ids.Position   `json:"position,omitempty"`
	Number   uint32         `json:"number,omitempty"`
	Peer     string         `json:"peer,omitempty"`
	Steps    map[string]int `json:"steps_ms,omitempty"`
	Outcome  string         `json:"outcome"`
	Reason   string         `json:"reason,omitempty"`
}

// MarshalJSON writes a record.
func (r Record) MarshalJSON() ([]byte, error) {
	steps := map[string]int{}
	for step := range StepCount {
		if took, taken := r.Steps.Get(step); taken {
			steps[step.String()] = int(took)
		}
	}
	return json.Marshal(line{
		r.At, r.Stage, r.ID, r.Node, r.Topic, r.Group, r.Epoch, r.Release, r.Position, r.Number, r.Peer, steps,
		r.Outcome, r.Reason,
	})
}

// UnmarshalJSON reads a record.
func (r *Record) UnmarshalJSON(text []byte) error {
	var l line
	if err := json.Unmarshal(text, &l); err != nil {
		return err
	}
	*r = Record{
		At: l.At, Stage: l.Stage, ID: l.ID, Node: l.Node, Topic: l.Topic, Group: l.Group, Epoch: l.Epoch,
		Release: l.Release, Position: l.Position, Number: l.Number, Peer: l.Peer, Outcome: l.Outcome, Reason: l.Reason,
	}
	for step := range StepCount {
		if took, taken := l.Steps[step.String()]; taken {
			r.Steps.Set(step, ids.Millis(took))
		}
	}
	return nil
}

// Write writes all records that are kept, one a line.
func Write(out io.Writer) error {
	encoder := json.NewEncoder(out)
	for _, r := range Records() {
		if err := encoder.Encode(r); err != nil {
			return errs.Wrap("write records", "", err)
		}
	}
	return nil
}

// Read reads records that Write wrote. A last line that is not whole is left out.
func Read(in io.Reader) (records []Record, err error) {
	scanner := bufio.NewScanner(in)
	scanner.Buffer(nil, 1<<20)
	for scanner.Scan() {
		var r Record
		if json.Unmarshal(scanner.Bytes(), &r) == nil {
			records = append(records, r)
		}
	}
	return records, scanner.Err()
}

// Handler answers with the records that are kept.
func Handler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/jsonl")
		Write(w)
	})
}

// FilePath is where a process writes its records.
func FilePath(node string) string {
	return filepath.Join(os.TempDir(), "oxbowdeck-requests-"+node+".jsonl")
}

// writing is held while a file is written: a signal and a violation may ask for it at once.
var writing sync.Mutex

// WriteFile writes all records that are kept in place of those that were written before.
func WriteFile(path string) {
	writing.Lock()
	defer writing.Unlock()
	err := writeFile(path)
	if err != nil {
		slog.Warn("requests-not-written", "path", path, "err", err)
		return
	}
	slog.Info("requests-written", "path", path)
}

func writeFile(path string) error {
	file, err := os.Create(path + ".new")
	if err != nil {
		return err
	}
	defer file.Close()
	buffer := bufio.NewWriter(file)
	if err := Write(buffer); err != nil {
		return err
	}
	if err := buffer.Flush(); err != nil {
		return err
	}
	return os.Rename(path+".new", path)
}

// WriteOnViolation has the records written when an invariant does not hold.
func WriteOnViolation(path string) {
	invariant.Observe(func(invariant.Violation) { go WriteFile(path) })
}

// About gives the records of one request, in the order of their ends. A message is found by
// its id, and by the name that its edge gave it, which begins with its shard.
func About(id string, records []Record) (about []Record) {
	for _, r := range records {
		if r.ID == id || strings.HasSuffix(id, "."+r.ID) || strings.HasSuffix(r.ID, "/"+id) {
			about = append(about, r)
		}
	}
	slices.SortStableFunc(about, func(a, b Record) int { return int(a.At - b.At) })
	return about
}

// Explain writes the records of one request as text, one a line, with the steps in order.
func Explain(out io.Writer, about []Record) {
	for _, r := range about {
		at := time.UnixMilli(r.At).UTC().Format("15:04:05.000")
		fmt.Fprintf(out, "%s %-9s %-21s group=%d epoch=%d release=%d", at, r.Stage, r.Node, r.Group, r.Epoch, r.Release)
		if r.Number > 0 {
			fmt.Fprintf(out, " number=%d", r.Number)
		}
		if r.Peer != "" {
			fmt.Fprintf(out, " peer=%s", r.Peer)
		}
		for step := range StepCount {
			if took, taken := r.Steps.Get(step); taken {
				fmt.Fprintf(out, " %s=%dms", step, took)
			}
		}
		fmt.Fprintf(out, " outcome=%s", r.Outcome)
		if r.Reason != "" {
			fmt.Fprintf(out, " reason=%q", r.Reason)
		}
		fmt.Fprintln(out)
	}
}
