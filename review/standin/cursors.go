package main

import (
	"errors"
	"fmt"
	"sync"
	"time"
)

// Bounds of the case of cursors.
const (
	quietTopics = 40
	busyTopics  = 103_000
	feeds       = 24
	feedWindow  = 64
	keepTime    = 10 * time.Second
	// ageTime is for the messages of the busy topics to be let go of.
	ageTime  = keepTime + 19*time.Second
	awayTime = 3 * time.Second
	backTime = 4 * time.Second // for the messages that were missed
)

// cursorsCase has a client subscribe to quiet topics, then many other topics be used once.
// The client goes away, one message is acknowledged on each quiet topic, and it comes back
// with its cursors: it lacks nothing but these messages.
func cursorsCase(r *run) (bool, error) {
	d, err := newDeployment(r, shape{zones: 3, stores: 1, edges: 1, losses: 1})
	if err != nil {
		return false, err
	}
	if err := d.startAll(); err != nil {
		return false, err
	}
	if err := d.putConfiguration(0, topicConfiguration(keepTime), 20*time.Second); err != nil {
		return false, err
	}
	if err := d.awaitReady(20 * time.Second); err != nil {
		return false, err
	}
	var topics []string
	for i := range quietTopics {
		topics = append(topics, fmt.Sprintf("stok.quiet%d", i))
	}
	client := newSubscriber(d, d.edges[0], "portal", topics...)
	go client.run()
	defer close(client.quit)
	if err := client.awaitConfirmed(5 * time.Second); err != nil {
		return false, err
	}
	if err := useManyTopics(d); err != nil {
		return false, err
	}
	sender, err := newFeed(d, d.edges[2], "desk", 8)
	if err != nil {
		return false, err
	}
	for i := range int(ageTime / (500 * time.Millisecond)) { // a little traffic goes on
		if err := sender.publish(i+1, "stok.other"); err != nil {
			return false, err
		}
		time.Sleep(500 * time.Millisecond)
	}
	if r.trouble {
		client.leave()
		d.note("the client goes away")
	}
	time.Sleep(awayTime / 2)
	began := time.Now()
	for i, topic := range topics {
		if err := sender.publish(1000+i, topic); err != nil {
			return false, err
		}
	}
	if err := sender.await(5 * time.Second); err != nil {
		return false, err
	}
	d.note("a message is acknowledged on each of the %d quiet topics", quietTopics)
	time.Sleep(awayTime / 2)
	if r.trouble {
		client.comeBack()
		d.note("the client comes back, %v after the first of these messages was sent", time.Since(began).Round(time.Millisecond))
	}
	time.Sleep(backTime)
	return judgeCursors(r, client, topics), nil
}

// useManyTopics publishes one message on each of many topics.
func useManyTopics(d *deployment) error {
	began := time.Now()
	var all sync.WaitGroup
	failed := make(chan error, feeds)
	for i := range feeds {
		f, err := newFeed(d, d.edges[i%len(d.edges)], fmt.Sprintf("desk%d", i), feedWindow)
		if err != nil {
			return err
		}
		all.Go(func() {
			for seq := 1; seq <= busyTopics/feeds; seq++ {
				if err := f.publish(seq, fmt.Sprintf("stok.%d-%d", i, seq)); err != nil {
					failed <- err
					return
				}
			}
			if err := f.await(10 * time.Second); err != nil {
				failed <- err
			}
			d.line("%s: %d messages acknowledged, %d refusals on the way", f.name, f.acked, f.refused)
			f.conn.close()
		})
	}
	all.Wait()
	select {
	case err := <-failed:
		return err
	default:
	}
	d.note("one message was acknowledged on each of %d topics, in %v", busyTopics, time.Since(began).Round(time.Second))
	return nil
}

// awaitConfirmed waits until the client's subscriptions are answered.
func (s *subscriber) awaitConfirmed(within time.Duration) error {
	for until := time.Now().Add(within); time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
		s.mu.Lock()
		n := len(s.confirmed)
		s.mu.Unlock()
		if n == len(s.topics) {
			return nil
		}
	}
	return errors.New("subscriptions are not answered")
}

// judgeCursors counts the subscriptions that could not be taken up, and the acknowledged
// messages that never came.
func judgeCursors(r *run, client *subscriber, topics []string) bool {
	client.mu.Lock()
	defer client.mu.Unlock()
	missing := 0
	for _, topic := range topics {
		if len(client.got["desk/"+topic]) == 0 {
			missing++
		}
	}
	r.note("%d of %d subscriptions were answered EXPIRED; %d of the acknowledged messages, all younger than keep_s (%v), did not come",
		len(client.expired), len(topics), missing, keepTime)
	return len(client.expired) > 0 || missing > 0
}
