// What an operator's configuration must hold. Fields not named here pass.
#Config: {
	config_release!: int & >0
	routing_entries!: [...#Space]
	service_set!: [...]
	limits!: {
		header_max_bytes?: int & >0
		body_max_bytes?:   int & >0
		header_timer_ms?:  int & >0
		idle_timer_ms?:    int & >0
		subscriptions?:    int & >0
		...
	}
	...
}
#Space: {
	label!:          string
	host_id!:        string
	path_prefix!:    =~"^[!-~]*$"
	route_class!:    "retained" | "live"
	guard_timer_ms!: int & >0
	target_ms?:     number & >=0
	prio_level?:    int & >=0
	keep_s!:         number & >=0
	ordered!:        "originator" | "topic"
	...
}
