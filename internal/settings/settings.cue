// What a settings file must hold; fields this program does not know are
// ignored before this check.
#Settings: {
	node_name:     !=""
	role:          string
	machine_class: string
	served_roles: [...string]
	ip_addr:                =~"^[0-9]+\\.[0-9]+\\.[0-9]+\\.[0-9]+$"
	avail_zone:             !=""
	region:                 string
	listen_addrs_front:     "" | #Addr
	listen_addrs_readiness: "" | #Addr
	listen_addrs_control:   "" | #Addr
	internal_ports: [#Port, #Port]
	seed_nodes: [#Addr, ...#Addr]
	initial_start:                 bool
	data_dir:                      string
	contracts: [...string]
	limits_memory_mb:              >=0
	limits_fd_limit:               >=0
	limits_disk_mb:                >=0
	limits_link_mbps:              >=0
	beat_ms:                       >0
	fault_tolerance_machines:      >=0 & <=4
	timing_bounds_contact_ms:      >=0
	timing_bounds_ack_ms:          >=0
	timing_bounds_config_apply_ms: >=0
	timing_bounds_drain_ms:        >=0
	timing_bounds_grace_s:         >=0
	timing_bounds_ping_s:          >=0
	timing_bounds_rejoin_s:        >=0
	timing_bounds_resend_s:        >=0
	timing_bounds_report_s:        >=0
	timing_bounds_ceiling_window_s: >=0
	timing_bounds_revoke_ms:         >=0
	timing_bounds_revocation_closed: bool
	timing_bounds_quota_window_s:    >=0
	timing_bounds_quota_excess:      >=0
	timing_bounds_quota_slack:       >=0
	deployment:                     "realtime" | "queue"
	log_level:                      "" | "debug" | "info" | "warn" | "error"

	// of tests on one machine; check refuses them in a deployment
	test_only_relay:      "" | #Loopback
	test_only_disk_fault: string
}

// What the kinds of deployment ask for beyond that.
kinds: {
	realtime: {
		timing_bounds_ping_s:   >0
		timing_bounds_resend_s: >0
	}
	queue: timing_bounds_report_s: >0
}

// What parts of the rules ask for where they are in force; other parts ask for nothing.
parts: {
	tenants: timing_bounds_revoke_ms:    >0
	quota: timing_bounds_quota_window_s: >0
}
#Addr: =~"^[0-9.]+:[0-9]+$"
#Loopback: =~"^127\\.[0-9.]+:[0-9]+$"
#Port: int & >0 & <65536

// What may be tuned (tuning.NAME), and within which bounds. A name that is not
// here is a mistake, and refused.
#Tuning: close({
	shards?:            int & >=1 & <=200
	wnd?:               int & >=1 & <=64
	wnd_kb?:            int & >=64 & <=65536
	bsz_kb?:            int & >=1 & <=4096
	batch_ms?:          int & >=1 & <=1000
	open_kb?:           int & >=64 & <=262144
	beat_ms?:           int & >=10 & <=10000
	patience_ms?:       int & >=50 & <=60000
	stagger_ms?:        int & >=1 & <=10000
	impatience_ms?:     int & >=1 & <=10000
	nudge_ms?:          int & >=1 & <=10000
	forward_spare_ms?:  int & >=1 & <=10000
	slow_ms?:           int & >=20 & <=60000
	silent_ms?:         int & >=300 & <=600000
	replace_ms?:        int & >=300 & <=3600000
	norm_replace_ms?:   int & >=300 & <=3600000
	norm_lease_ms?:     int & >=300 & <=3000
	norm_quorum_ms?:    int & >=500 & <=60000
	quorum_ms?:         int & >=500 & <=60000
	feed_kb?:           int & >=1 & <=16384
	snapshot_kb?:       int & >=64 & <=1048576
	log_tail_kb?:       int & >=64 & <=1048576
	keep_slack_ms?:     int & >=1 & <=600000
	live_keep_ms?:      int & >=1 & <=600000
	marks?:             int & >=1 & <=10000000
	topics?:            int & >=1 & <=10000000
	quiet_topics?:      int & >=1 & <=100000000
	edge_conns?:        int & >=1 & <=1000000
	edge_calls?:        int & >=1 & <=1000000
	client_calls?:      int & >=1 & <=100000
	client_out_kb?:     int & >=32 & <=1048576
	forward_again_ms?:  int & >=10 & <=60000
	give_up_margin_ms?: int & >=1 & <=60000
	join_wait_ms?:      int & >=10 & <=60000
	pulse_ms?:          int & >=10 & <=10000
	replica_quiet_ms?:  int & >=50 & <=60000
	replica_late_ms?:   int & >=10 & <=60000
	news_quiet_ms?:     int & >=100 & <=60000
	hope_ms?:           int & >=50 & <=60000
	piece_kb?:          int & >=1 & <=65536
	lane_queue_kb?:     int & >=64 & <=1048576
	lane_frame_kb?:     int & >=16384 & <=1048576
	lane_dial_ms?:      int & >=10 & <=60000
	lane_silence_ms?:   int & >=100 & <=60000
	lane_retry_ms?:     int & >=1 & <=60000
	lane_retry_max_ms?: int & >=1 & <=60000
	lane_idle_ms?:      int & >=3000 & <=3600000
	norm_batch_ms?:     int & >=1 & <=1000
	norm_beat_ms?:      int & >=10 & <=10000
	norm_patience_ms?:  int & >=50 & <=60000
	control_wait_ms?:   int & >=10 & <=60000
	config_kb?:         int & >=1 & <=65536
	settings_look_s?:   int & >=1 & <=3600
	gc_percent?:        int & >=5 & <=1000
	mark_ms?:           int & >=1 & <=1000
	run_late_ms?:       int & >=10 & <=60000
	worker_dial_ms?:    int & >=10 & <=60000
	worker_beats?:      int & >=2 & <=100
	eject_ms?:          int & >=10 & <=600000
	answer_wait_ms?:    int & >=10 & <=60000
	metrics?:           int & >=0 & <=1
})
