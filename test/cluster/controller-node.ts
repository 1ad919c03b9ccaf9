import { type Controller } from '../../src/coordination/controller/controller';

/** One controller of the cluster across restarts of its process, with the faults that are injected into it. */
export interface ControllerNode {
  /** Its current process; null if none runs. */
  controller: Controller | null;
  up: boolean;
  /** Whether the state store refuses its requests with 503; watches that are already open wait. */
  storeRefuses: boolean;
  /** Whether heartbeats reach it 5 to 20 s late, when their workers no longer wait for a response. */
  cutFromWorkers: boolean;
  /** Whether it is disconnected from the state store and the other controllers, but not from workers and cloud. */
  isolated: boolean;
  /** Whether new watches of the state store get no response, while all its other requests work. */
  watchHangs: boolean;
  /** The virtual time until which the process is paused. Its clocks run on, and events are handled after the pause. */
  pausedUntil: number;
}

/** A controller without a process and without faults. */
export function emptyNode(): ControllerNode {
  return {
    controller: null,
    up: false,
    storeRefuses: false,
    cutFromWorkers: false,
    isolated: false,
    watchHangs: false,
    pausedUntil: 0,
  };
}

/** Whether the node's controller is up and reports that it leads. */
export function isLeading({ up, controller }: ControllerNode): boolean {
  return up && controller !== null && (controller.status() as { leading: boolean }).leading;
}

/** The ids of the partitions that the node's controller owns. */
export function ownedPartitions({ up, controller }: ControllerNode): string[] {
  if (!up || controller === null) return [];
  const { partitions } = controller.status() as { partitions: { partition: string }[] };
  return partitions.map(({ partition }) => partition);
}
