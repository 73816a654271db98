package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"time"
)

// Bounds of the case of retired stores.
const (
	retirements  = 4
	retireWait   = 20 * time.Second       // for `completed`
	retirePoll   = 100 * time.Millisecond // between the platform's questions
	retirePause  = 3 * time.Second        // between one removal and the next order
	answerMargin = 50 * time.Millisecond  // an answer is complete so long before the time-out
	settleTime   = 5 * time.Second        // for messages to be run at the end
	workTime     = 60 * time.Millisecond  // of one message
	sendRate     = 300                    // messages a second
)

// retireCase empties one store after the other, each by an operator's order, and removes
// it once it is called completed. No message may run again after a success that its
// sender read.
func retireCase(r *run) (bool, error) {
	d, err := newDeployment(r, shape{zones: 4, stores: 2, edges: 1, queue: true, losses: 1})
	if err != nil {
		return false, err
	}
	if err := d.startAll(); err != nil {
		return false, err
	}
	if err := d.putConfiguration(0, queueConfiguration(), 20*time.Second); err != nil {
		return false, err
	}
	all := &runs{}
	for i := range 4 {
		w, err := startWorker(d, all, i, i%4, 16, workTime)
		if err != nil {
			return false, err
		}
		defer w.stop()
	}
	if err := d.awaitReady(20 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	s := startSenders(d, sendRate, 2500)
	time.Sleep(3 * time.Second)
	for i := range retirements {
		if !r.trouble {
			time.Sleep(retirePause + 2*time.Second)
			continue
		}
		store := d.leadingStore()
		if store == nil {
			return false, fmt.Errorf("no store is left to be emptied")
		}
		if err := d.retire(store); err != nil {
			return false, fmt.Errorf("retirement %d: %w", i+1, err)
		}
		time.Sleep(retirePause)
	}
	s.stop()
	time.Sleep(settleTime)
	return judgeTwice(r, all), nil
}

// leadingStore gives a store that is the first voter of a shard, which leads it as a rule,
// and of as few others as possible.
func (d *deployment) leadingStore() *process {
	for _, p := range d.controls {
		st, raw, err := d.readStatus(p)
		if err != nil || len(st.Shards) == 0 {
			continue
		}
		d.line("operator: the status of %s: %s", p.name, raw)
		var best *process
		fewest := 0
		for _, store := range d.stores {
			if store.hasEnded() {
				continue
			}
			addr := fmt.Sprintf("%s:%d", store.ip, d.base+portInternalFirst+1)
			first, seats := false, 0
			for _, shard := range st.Shards {
				for i, voter := range shard.Voters {
					if voter.Node == addr {
						seats++
						first = first || i == 0
					}
				}
			}
			if first && (best == nil || seats < fewest) {
				best, fewest = store, seats
			}
		}
		return best
	}
	return nil
}

// errNotEmptied tells that a store was not called completed in time.
var errNotEmptied = errors.New("not emptied in time")

// retire orders a store to be emptied, and removes it, with its disk, once it is completed.
func (d *deployment) retire(store *process) error {
	until := time.Now().Add(retireWait)
	body, header := []byte(`{"ramp_s":10}`), http.Header{"Content-Type": {"application/json"}}
	for i := 0; ; i++ {
		p := d.controls[i%len(d.controls)]
		code, answer, err := call("POST", "http://"+d.control(p)+"/v1/retire/"+store.name, header, body, time.Second)
		d.note("operator: POST /v1/retire/%s: %d %v", store.name, code, err)
		if err == nil && code == 200 {
			break
		}
		if err == nil && code/100 == 4 || time.Now().After(until) {
			return fmt.Errorf("refused: %d %s %v", code, answer, err)
		}
	}
	for i := 0; time.Now().Before(until); i++ {
		p := d.controls[i%len(d.controls)]
		_, answer, err := call("GET", "http://"+d.control(p)+"/v1/retire/"+store.name, nil, nil, time.Second)
		var said struct {
			State string `json:"op_state"`
		}
		if err == nil && json.Unmarshal(answer, &said) == nil && said.State == "completed" {
			store.kill()
			d.note("platform: %s is called completed and is removed", store.name)
			os.RemoveAll(store.dataDir)
			return nil
		}
		time.Sleep(retirePoll)
	}
	return fmt.Errorf("%s: %w", store.name, errNotEmptied)
}

// judgeTwice finds messages that ran again after a success whose answer was complete in
// time and was read by its sender.
func judgeTwice(r *run, all *runs) bool {
	ran, again, broken := 0, 0, 0
	for message, list := range all.byMessage() {
		ran++
		for i, one := range list {
			if i+1 == len(list) {
				break
			}
			next := list[i+1]
			again++
			inTime := !one.answered.IsZero() && one.answered.Sub(one.began) <= guardTimer-answerMargin
			read := one.state == answerRead && one.answered.Before(next.began)
			r.note("%s ran at %s from %s, answered with success %v after its beginning (read by the sender: %v), and ran again %v later at %s",
				message, one.worker, one.sender, one.answered.Sub(one.began).Round(time.Millisecond), read,
				next.began.Sub(one.began).Round(time.Millisecond), next.worker)
			if inTime && read {
				broken++
			}
		}
	}
	r.note("%d messages ran, %d runs were repeats, %d of them after a success that was read in time", ran, again, broken)
	return broken > 0
}
