import { z } from 'zod';

/** Placement of new tasks on machines with free resources: on the fullest ones, or so that all are about equally full. */
export const PLACEMENTS = ['pack', 'even'] as const;

/**
 * The operators' settings of the balancer. Limits are given as shares of the number of machines, so that they need not be
 * changed when a fleet grows.
 */
export const balancerSettingsSchema = z
  .strictObject({
    enabled: z.boolean().default(true).meta({ description: 'Whether load is balanced at all.' }),
    task_moves: z
      .boolean()
      .default(true)
      .meta({ description: 'Whether running and fetching tasks are moved within a partition.' }),
    machine_moves: z.boolean().default(true).meta({
      description: 'Whether moves of machines between partitions are checked against hysteresis and bounds.',
    }),
    placement: z
      .enum(PLACEMENTS)
      .default('pack')
      .meta({ description: 'pack: new tasks go to the fullest machines; even: all machines fill alike.' }),
    locality_weight: z
      .number()
      .min(0)
      .max(10)
      .default(1)
      .meta({ description: 'What a second of fetching an image counts against a second of waiting.' }),
    priority_weight: z
      .number()
      .min(1)
      .max(10)
      .default(3)
      .meta({ description: 'What a second of waiting counts against one of the next lower priority.' }),
    hysteresis: z
      .number()
      .min(1)
      .max(10)
      .default(1.5)
      .meta({ description: 'A move must gain so many times what it costs.' }),
    min_gain_s: z
      .number()
      .min(0)
      .max(600)
      .default(5)
      .meta({ description: 'A move must gain so many seconds more than it costs.' }),
    min_residence_s: z.number().min(0).max(3600).default(30).meta({
      description: 'What has run for less on its machine, or was moved to its partition since, stays.',
    }),
    in_flight_share: z
      .number()
      .gt(0)
      .max(0.5)
      .default(0.05)
      .meta({ description: 'Moves under way at once, as a share of the machines (at least 4).' }),
    per_minute_share: z
      .number()
      .gt(0)
      .max(1)
      .default(0.2)
      .meta({ description: 'Moves begun in a minute, as a share of the machines (at least 8).' }),
    plan_interval_s: z
      .number()
      .min(0.5)
      .max(60)
      .default(2)
      .meta({ description: 'Least time between two rounds of planning.' }),
    summary_max_age_s: z
      .number()
      .min(1)
      .max(120)
      .default(6)
      .meta({ description: 'A load summary that is older decides nothing.' }),
  })
  .superRefine((settings, context) => {
    const reject = (field: keyof typeof settings, message: string): void =>
      context.addIssue({ code: 'custom', path: [field], message });
    if (settings.in_flight_share > settings.per_minute_share)
      reject('in_flight_share', 'must not be larger than per_minute_share');
    if (settings.summary_max_age_s < settings.plan_interval_s)
      reject('summary_max_age_s', 'must not be shorter than plan_interval_s');
    const hasNoEffect = !settings.task_moves && !settings.machine_moves && settings.placement === 'pack';
    if (settings.enabled && hasNoEffect)
      reject('enabled', 'must be false if task_moves and machine_moves are false and placement is pack');
  });

/** Validated settings of the balancer. */
export type BalancerSettings = z.infer<typeof balancerSettingsSchema>;

/** The settings that apply where the features file sets none. */
export const DEFAULT_BALANCER_SETTINGS: BalancerSettings = balancerSettingsSchema.parse({});
