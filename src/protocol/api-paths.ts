/** Paths of a controller's HTTP interface. */
export const API_PATHS = {
  /** Receives heartbeats of workers. */
  heartbeat: '/hello',
  /** Accepts submissions. A job's status is at this path and its ref, and its cancellation below that. */
  jobs: '/v2/runs',
  ready: '/ready',
  status: '/status',
} as const;
