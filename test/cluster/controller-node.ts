import { type Controller } from '../../src/coordination/controller/controller';

/** The place of one controller in the cluster, and the faults that are set on it. */
export interface ControllerNode {
  /** Its present process; null: there is none. */
  controller: Controller | null;
  up: boolean;
  /** The state service refuses its requests. */
  storeRefuses: boolean;
  /** Cut from the workers: their heartbeats are held and come late. */
  cutFromWorkers: boolean;
  /** Cut from the state service and the other controllers, but not from the workers. */
  isolated: boolean;
  /** Its watches get no answer, while all else works. */
  watchHangs: boolean;
  /** Until when the process is paused while its clocks run on: what comes meanwhile is dealt with after. */
  pausedUntil: number;
}

/** A place without a process and without faults. */
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

/** Whether the node's controller leads, by its own word. */
export function isLeading({ up, controller }: ControllerNode): boolean {
  return up && controller !== null && (controller.status() as { leading: boolean }).leading;
}
