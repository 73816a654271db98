// What an operator's configuration must hold. Fields not named here pass.
#Config: {
	config_release!: int & >0
	routing_entries!: [...#Route]
	service_set!: [...#Service]
	tenant_accounts?: [...#Tenant]
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
#Route: {
	label!:          string
	host_id!:        string
	path_prefix!:    =~"^[!-~]*$"
	route_class!:    "retained" | "live" | "deferred"
	guard_timer_ms!: int & >0
	target_ms?:      number & >=0
	prio_level?:     int & >=0
	no_auth?:        bool
	if route_class == "deferred" {
		service_ref!:     !=""
		max_attempts!:    int & >0 & <=1000
		hold_s!:          number & >0
		in_sequence?:     bool
		start_target_ms?: number & >=0
	}
	// Of a space of topics two things go by two words each; one of them is enough.
	if route_class != "deferred" {
		keep_s?:      #Keep
		hold_s?:      #Keep
		ordered?:     #Order
		in_sequence?: #Order
		if hold_s == _|_ {keep_s!: #Keep}
		if in_sequence == _|_ {ordered!: #Order}
	}
	...
}
#Keep:  number & >=0
#Order: "originator" | "topic"
#Service: {
	label!:          !=""
	health_path?:    string
	conn_limit?:     int & >=0
	rate_per_s?:     number & >=0
	dedup_capable?:  bool
	fixed_endpoint?: null | =~"^[0-9.]+:[0-9]+$"
	...
}
#Tenant: {
	label!: !=""
	access_keys!: [#Key, ...#Key]
	rate_per_s?: number & >=0
	burst_size?: number & >=0
	prio_level?: int & >=0
	...
}
#Key: =~"^[!-~]{1,256}$"
