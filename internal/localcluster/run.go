package localcluster

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"time"

	"oxbowdeck/internal/childprocess"
	"oxbowdeck/internal/errs"
)

// stopTimeout is how long processes have from SIGTERM to SIGKILL: above the grace of the
// settings.
const stopTimeout = 10 * time.Second

// ownName stands before the lines of the runner itself.
const ownName = "local"

// ErrProcessEnded tells that a process ended before the deployment was ready.
var ErrProcessEnded = errors.New("the process ended before the deployment was ready; its last lines say why")

// Options says how a deployment is run.
type Options struct {
	Plan         Plan
	Programs     string        // folder of the programs
	Configure    bool          // give it the sample configuration if it has none
	ReadyTimeout time.Duration // for all processes to serve
	Output       io.Writer     // what the processes log, a name before each line
}

// cluster is a deployment under way.
type cluster struct {
	options   Options
	output    *childprocess.Output
	processes []Process
	children  []*childprocess.Child
	watchers  sync.WaitGroup // of children that end by themselves
}

// Run starts every process of a plan, tells when clients can connect, and waits for
// the context to end. When it returns, none of the processes is left. A process that
// ends before the deployment is ready ends all of it; later, the others go on.
func Run(ctx context.Context, options Options) error {
	c := &cluster{options: options, output: childprocess.NewOutput(options.Output)}
	var err error
	if c.processes, err = Write(options.Plan); err != nil {
		return err
	}
	if err := checkAddressesFree(c.processes); err != nil {
		return err
	}
	defer c.stop()
	if err := c.start(); err != nil {
		return err
	}
	if err := c.awaitReady(ctx); err != nil {
		if ctx.Err() != nil {
			return nil // told to end before it was ready
		}
		return err
	}
	c.tellReady()
	c.awaitEnd(ctx)
	return nil
}

func (c *cluster) say(format string, args ...any) {
	c.output.WriteLine(ownName, fmt.Appendf(nil, format, args...))
}

// checkAddressesFree finds a deployment that runs at the same addresses already.
func checkAddressesFree(processes []Process) error {
	for _, x := range processes {
		for _, address := range []string{x.Control, x.Front} {
			if address == "" {
				continue
			}
			listener, err := net.Listen("tcp", address)
			if err != nil {
				return errs.Errorf("start", x.Name,
					"%w (does another deployment run? choose other addresses with --port or --net)", err)
			}
			listener.Close()
		}
	}
	return nil
}

func (c *cluster) start() error {
	for _, x := range c.processes {
		if err := c.startChild(x.Program, x.Name, x.Role, "--settings", x.Settings); err != nil {
			return err
		}
	}
	if c.options.Plan.Queue {
		return c.startChild("oxbowdeck", "worker", c.workerArguments()...)
	}
	return nil
}

func (c *cluster) startChild(program, name string, arguments ...string) error {
	started, err := childprocess.Start(childprocess.Spec{
		Programs:  c.options.Programs,
		Program:   program,
		Name:      name,
		Output:    c.output,
		Arguments: arguments,
	})
	if err != nil {
		return err
	}
	c.children = append(c.children, started)
	c.say("started %s pid=%d", name, started.PID())
	return nil
}

func (c *cluster) workerArguments() []string {
	return []string{"worker", "--service", SampleService, "--control", strings.Join(c.controlAddresses(), ",")}
}

func (c *cluster) controlAddresses() []string {
	var addresses []string
	for _, x := range c.processes {
		if x.Control != "" {
			addresses = append(addresses, x.Control)
		}
	}
	return addresses
}

// awaitReady waits until clients can connect, or until a process ends.
func (c *cluster) awaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, c.options.ReadyTimeout)
	defer cancel()
	ready := make(chan error, 1)
	go func() { ready <- c.makeReady(ctx) }()
	look := time.NewTicker(pollInterval)
	defer look.Stop()
	for {
		select {
		case err := <-ready:
			return err
		case <-look.C:
		}
		for _, x := range c.children {
			if x.HasEnded() {
				cancel()
				<-ready
				return errs.Errorf("start", x.Name, "%w: %v", ErrProcessEnded, x.Err())
			}
		}
	}
}

func (c *cluster) tellReady() {
	var fronts []string
	for _, x := range c.processes {
		if x.Front != "" {
			fronts = append(fronts, x.Front)
		}
	}
	control := "http://" + c.controlAddresses()[0]
	if c.options.Configure {
		c.say("ready: clients connect to %s", strings.Join(fronts, " "))
	} else {
		c.say("ready for a configuration: PUT one to %s/v1/configuration; then clients connect to %s",
			control, strings.Join(fronts, " "))
	}
	c.say("operators: oxbowctl status %s", control)
	c.say("Ctrl-C ends the deployment; its data stays in %s", c.options.Plan.Dir)
}

// awaitEnd tells of processes that end by themselves until the context ends, or
// until none is left.
func (c *cluster) awaitEnd(ctx context.Context) {
	for _, x := range c.children {
		c.watchers.Go(func() {
			<-x.Ended()
			if ctx.Err() == nil {
				c.say("%s has ended (%v); the others go on", x.Name, x.Err())
			}
		})
	}
	allEnded := make(chan struct{})
	go func() {
		c.watchers.Wait()
		close(allEnded)
	}()
	select {
	case <-ctx.Done():
	case <-allEnded:
	}
}

// stop ends every process: in order, or after stopTimeout by force.
func (c *cluster) stop() {
	c.say("stopping %d processes", len(c.children))
	for _, x := range c.children {
		x.Terminate()
	}
	deadline := make(chan time.Time)
	timer := time.AfterFunc(stopTimeout, func() { close(deadline) })
	defer timer.Stop()
	for _, x := range c.children {
		x.AwaitEnd(deadline)
	}
	c.watchers.Wait()
	c.say("all processes have ended")
}
