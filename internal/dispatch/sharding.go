package dispatch

import (
	"oxbowdeck/internal/controlapi"
	"oxbowdeck/internal/ids"
)

// HomeOf gives the shard at which a service is counted.
func HomeOf(service string, shards int) ids.Group {
	return ids.GroupOf(ids.Topic("service/"+service), max(1, shards))
}

// ShardOf gives the shard a message belongs to; free is true when any will do:
// then whoever takes it in chooses, and its id tells. The sequences of one key are at one
// shard, whosever they are, so a shard does not change with who bears a key.
func ShardOf(config *controlapi.Config, route *controlapi.Space, key string, shards int) (group ids.Group, free bool) {
	if route.Sequence && key != "" {
		return ids.GroupOf(ids.Topic("key/"+key), max(1, shards)), false
	}
	s := config.ServiceOf(route.Service)
	if s != nil && (s.PerS > 0 || s.Fixed != nil) {
		return HomeOf(s.Label, shards), false
	}
	return 0, true
}
