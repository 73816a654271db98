package localcluster

import (
	"fmt"
	"strings"
)

// Hosts of machines that come later: each generation of a process has an address of its own.
const (
	controlHostsPerGeneration = 10
	storeHostsPerGeneration   = 5
	edgeHostsPerGeneration    = 1
)

// Replacement is the machine that takes a process's place for good: another name, another
// address, an empty disk. Generations count from 1.
func (p Plan) Replacement(zone int, role string, generation int) Process {
	var x Process
	switch role {
	case "serve":
		x = p.controlAt(zone, firstControlHost+zone+controlHostsPerGeneration*generation)
	case "store":
		x = p.storeAt(zone, firstStoreHost+zone+storeHostsPerGeneration*generation)
	default:
		return p.late(p.edge(zone, p.Edges-1+edgeHostsPerGeneration*generation))
	}
	return p.late(p.renamed(x, generation))
}

// renamed gives a process the name of a later generation.
func (p Plan) renamed(x Process, generation int) Process {
	name := fmt.Sprintf("%s-g%d", x.Name, generation)
	x.Text = strings.ReplaceAll(x.Text, x.Name, name)
	x.Settings = strings.ReplaceAll(x.Settings, x.Name, name)
	x.Name = name
	return x
}

// late makes a process one that starts when the deployment runs already.
func (p Plan) late(x Process) Process {
	x.Text = strings.Replace(x.Text, "initial_start=true", "initial_start=false", 1)
	return x
}
