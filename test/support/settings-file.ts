/** The settings file of one controller in the form that operators write. */

export const SETTINGS = {
  member: 'velodrome-0',
  site: 'a',
  serve_on: '10.0.0.1:8080',
  cluster_listen: '10.0.0.1:8081',
  peers: [],
  external: { cloud: '10.2.0.2:8443', state: '10.2.0.1:2379' },
  facts: {
    teams: [{ name: 't', cpus: 1, cpus_max: 2 }],
    workers: { report_s: 2, lease_s: 12, cancel_s: 37 },
    state: { rps: 150, write_rps: 25, value_kb: 4, txn_ops: 12 },
    cloud: { rps: 6, list_lag_s: 3 },
  },
};
