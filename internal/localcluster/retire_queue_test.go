package localcluster

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"oxbowdeck/internal/testworker"
)

// What TestRetiredLeaderReportsItsSuccesses does.
const (
	retireSenders     = 24
	retireWork        = 60 * time.Millisecond // of one message at a worker
	retireSlots       = 40                    // of each worker
	retirePause       = 1500 * time.Millisecond
	retireGuardPassed = 2500 * time.Millisecond // queueConfig's time-out, and what a leader adds to it
)

// TestRetiredLeaderReportsItsSuccesses guards against messages that run again after a success
// that a store read while it was being emptied: it had led their shard, handed it over, and
// nobody told it whom to report to.
func TestRetiredLeaderReportsItsSuccesses(t *testing.T) {
	t.Parallel()
	d := startDeployment(t, Plan{
		Dir: t.TempDir(), Zones: 4, Edges: 1, Base: 22300, Net: network(1), Queue: true,
		Extra: []string{"fault_tolerance.machines=1"},
	})
	var runs runCounts
	for i := range 2 {
		w := &testworker.Worker{
			ID:        fmt.Sprintf("i-%d", i),
			Service:   "stock",
			Zone:      "zone-1",
			Addr:      "127.0.0.1:0",
			Control:   []string{d.processes["core-zone-1"].Control, d.processes["core-zone-2"].Control},
			Slots:     retireSlots,
			Heartbeat: 300 * time.Millisecond,
			Work:      retireWork,
			Ran:       runs.add,
		}
		if err := w.Start(); err != nil {
			t.Fatal(err)
		}
		defer w.Kill()
	}
	url := d.controlURL("core-zone-1")
	d.configure(url, fmt.Sprintf(queueConfig, firstRelease, ""))
	d.awaitReady()

	stop := make(chan struct{})
	var senders sync.WaitGroup
	for sender := range retireSenders {
		senders.Go(func() { handInUntil(t, stop, d.fronts(4), sender) })
	}
	time.Sleep(retirePause)
	store := leadingStore(t, d, url)
	if code, _ := callFinal(t, http.MethodPost, url+"/v1/retire/"+store, "", `{"ramp_s":1}`); code != http.StatusOK {
		t.Fatalf("retire %s: %d", store, code)
	}
	eventually(t, "emptied", func() bool {
		_, text := callFinal(t, http.MethodGet, url+"/v1/retire/"+store, "", "")
		return strings.Contains(text, "completed")
	})
	time.Sleep(retirePause)
	close(stop)
	senders.Wait()
	time.Sleep(retireGuardPassed)
	messages, again := runs.sum()
	if messages == 0 || again > 0 {
		t.Errorf("%d of %d messages ran again, though none failed and no process was in trouble", again, messages)
	}
}

// runCounts counts the runs of each message.
type runCounts struct {
	mu   sync.Mutex
	runs map[string]int // by attempt
}

func (r *runCounts) add(attempt, _ string, _ []byte) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.runs == nil {
		r.runs = map[string]int{}
	}
	r.runs[attempt]++
}

// sum gives how many messages ran, and how many of them more than once.
func (r *runCounts) sum() (messages, again int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, n := range r.runs {
		if n > 1 {
			again++
		}
	}
	return len(r.runs), again
}

// handInUntil hands messages in, one after the other, until stop is closed.
func handInUntil(t *testing.T, stop chan struct{}, fronts []string, sender int) {
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		default:
		}
		attempt := fmt.Sprintf("s%d-%d", sender, n)
		handIn(t, fronts[n%len(fronts)], "/stock/1", map[string]string{"X-Attempt-Id": attempt}, "x")
		time.Sleep(retireWork / 2)
	}
}

// leadingStore gives the store that is the first voter of a shard, which leads it as a rule.
func leadingStore(t *testing.T, d *deployment, url string) string {
	t.Helper()
	_, text := callFinal(t, http.MethodGet, url+"/v1/status", "", "")
	var status struct {
		Nodes []struct {
			Name string `json:"node_name"`
			Addr string `json:"addr"`
		} `json:"nodes"`
		Shards []struct {
			Voters []struct{ Node string }
		} `json:"shards"`
	}
	if err := json.Unmarshal([]byte(text), &status); err != nil || len(status.Shards) == 0 {
		t.Fatalf("status: %v: %s", err, text)
	}
	for _, node := range status.Nodes {
		if node.Addr == status.Shards[0].Voters[0].Node {
			return node.Name
		}
	}
	t.Fatalf("no store leads: %s", text)
	return ""
}
