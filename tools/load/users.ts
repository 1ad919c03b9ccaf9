import { type HttpResponse } from '../../src/transport/http-client';

type SendRequest = (path: string, body: object, method: string) => Promise<HttpResponse | null>;

const POLL_INTERVAL_MS = 5000;
const RETRY_DELAY_MS = 1000;

/** Simulated users who submit jobs at a constant rate and poll the status of each job until it is done. */
export class LoadUsers {
  readonly counters = { submitted: 0, accepted: 0, done: 0, refused: 0, unanswered: 0 };

  constructor(
    private readonly sendRequest: SendRequest,
    private readonly teams: readonly string[],
    private readonly tasksPerJob: number,
    private readonly taskSeconds: number,
  ) {}

  start(jobsPerMinute: number): void {
    setInterval(() => void this.submit(), 60_000 / jobsPerMinute);
  }

  private async submit(): Promise<void> {
    const ref = `job-${String(++this.counters.submitted).padStart(6, '0')}`;
    const body = {
      ...{ ref, workload: 'load', crew: this.teams[this.counters.submitted % this.teams.length] },
      ...{
        shape: 'sweep',
        urgency: 'normal',
        pieces: this.tasksPerJob,
        cpus: 1,
        accelerators: 0,
        memory_gb: 1.2,
      },
      ...{ build: 'img-01', image_gb: 0.7, models: null, yard: null, together: false, apart: false },
      ...{ loaners: true, expected_s: this.taskSeconds, snapshot_every_s: 0, snapshot_s: 0, due_s: 200 },
    };
    for (;;) {
      const response = await this.sendRequest('/v2/runs', body, 'POST');
      if (response === null) this.counters.unanswered++;
      if (response?.status === 201 || response?.status === 200) break;
      this.counters.refused++;
      await this.sleep(RETRY_DELAY_MS);
    }
    this.counters.accepted++;
    await this.pollUntilDone(ref);
  }

  private async pollUntilDone(ref: string): Promise<void> {
    for (;;) {
      await this.sleep(POLL_INTERVAL_MS);
      const response = await this.sendRequest(`/v2/runs/${ref}`, {}, 'GET');
      if ((response?.body as { status?: string } | undefined)?.status === 'done') break;
    }
    this.counters.done++;
  }

  private sleep(ms: number): Promise<void> {
    return new Promise((resolve) => setTimeout(resolve, ms));
  }
}
