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
	timing_bounds_ping_s:          >0
	timing_bounds_rejoin_s:        >=0
	timing_bounds_resend_s:        >0
}
#Addr: =~"^[0-9.]+:[0-9]+$"
#Port: int & >0 & <65536
