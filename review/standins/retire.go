package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { scenarios["retire"] = retire }

// retire has a store emptied while messages run, takes the machine and its disk away as
// soon as it is said to be empty, and looks for runs after a success.
func retire(r *record, trouble bool) (broken []string, err error) {
	c, err := newCluster(r, 4, true)
	if err != nil {
		return nil, err
	}
	done, err := c.openQueue(110 * time.Millisecond)
	if err != nil {
		return nil, err
	}
	stop := make(chan bool)
	var wait sync.WaitGroup
	wait.Add(1)
	go func() {
		defer wait.Done()
		for n := 0; ; n++ {
			select {
			case <-stop:
				return
			case <-time.After(20 * time.Millisecond):
				c.handIn(fmt.Sprintf("m%d", n), 160, 300, func() time.Duration { return 0 })
			}
		}
	}()
	time.Sleep(4 * time.Second)
	if trouble {
		err = c.retireStore("store-zone-1")
	}
	time.Sleep(5 * time.Second)
	close(stop)
	wait.Wait()
	time.Sleep(6 * time.Second)
	return runsAfterSuccess(r, done), err
}

// retireStore is the operator: it asks for the store to be emptied, and takes the machine
// and its disk away once it is.
func (c *cluster) retireStore(name string) error {
	url := "http://" + c.control(1) + "/v1/retire/" + name
	status, _, err := call("POST", url, `{"ramp_s":10}`, map[string]string{"Content-Type": "application/json"})
	c.r.note("POST /v1/retire/%s: %d %v", name, status, err)
	for until := time.Now().Add(30 * time.Second); time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
		_, body, _ := call("GET", url, "", nil)
		if !strings.Contains(string(body), "completed") {
			continue
		}
		c.r.note("GET /v1/retire/%s: completed", name)
		p := c.named(name)
		c.signal(p, syscall.SIGKILL)
		<-p.done
		return os.RemoveAll(filepath.Join(c.dir, name+".data"))
	}
	return fmt.Errorf("%s was not emptied in time", name)
}
