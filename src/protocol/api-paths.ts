/** Paths of a controller's HTTP interface. */
export const API_PATHS = {
  /** Receives heartbeats of workers. */
  heartbeat: '/hello',
  /** Accepts submissions. The status of a job is at `<this path>/<ref>`, its cancellation at `<this path>/<ref>/cancel`. */
  jobs: '/v2/runs',
  ready: '/ready',
  status: '/status',
} as const;
