import { z } from 'zod';

/*
 * Requests to the cloud and its responses. Wire terms: `models` machine types, `label` name of a type, `yards` zones, `rate`
 * price, `ready_s` boot time, `local_gb` image cache size, `velodromes` machines, `ref` machine id, `loaners` spot,
 * `hire_order` request id, `rentals` provisioned machines. Parsers return null for a malformed body.
 */

/** A kind of machine that the cloud offers. Stored as is under the catalog's key. */
export interface MachineType {
  name: string;
  cpus: number;
  accelerators: number;
  memoryGb: number;
  cacheGb: number;
  fetchGbPerS: number;
  price: number;
  spotPrice: number;
  /** Seconds from the provisioning request until its worker may run tasks. */
  bootS: number;
  zones: string[];
}

const machineTypeSchema = z.object({
  label: z.string(),
  cpus: z.number(),
  accelerators: z.number().default(0),
  memory_gb: z.number(),
  local_gb: z.number().default(0),
  fetch_gb_per_s: z.number().default(1),
  rate: z.number(),
  spot_price: z.number(),
  ready_s: z.number(),
  yards: z.array(z.string()),
});

/** Parses the machine types of the cloud's catalog. */
export function parseCatalog(body: unknown): MachineType[] | null {
  const parsed = z.object({ models: z.array(machineTypeSchema) }).safeParse(body);
  if (!parsed.success) return null;
  return parsed.data.models.map((m) => ({
    name: m.label,
    cpus: m.cpus,
    accelerators: m.accelerators,
    memoryGb: m.memory_gb,
    cacheGb: m.local_gb,
    fetchGbPerS: m.fetch_gb_per_s,
    price: m.rate,
    spotPrice: m.spot_price,
    bootS: m.ready_s,
    zones: m.yards,
  }));
}

/** These machine types by name. */
export function machineTypesByName(types: readonly MachineType[]): Map<string, MachineType> {
  return new Map(types.map((type) => [type.name, type]));
}

/** A machine as the cloud lists it. */
export interface ListedMachine {
  name: string;
  type: string;
  zone: string;
  spot: boolean;
  status: 'booting' | 'running' | 'failed';
  ageS: number;
}

const machineListSchema = z.object({
  velodromes: z.array(
    z.object({
      ref: z.string(),
      model: z.string(),
      yard: z.string(),
      loaners: z.boolean(),
      status: z.enum(['booting', 'running', 'failed']),
      age_s: z.number(),
    }),
  ),
  truncated: z.boolean().nullish(),
});

const LIST_PAGE_MACHINES = 500;

/** Parses one page of the cloud's list of machines. `more`: machines follow the last one. */
export function parseMachineList(body: unknown): { machines: ListedMachine[]; more: boolean } | null {
  const parsed = machineListSchema.safeParse(body);
  if (!parsed.success) return null;
  return {
    machines: parsed.data.velodromes.map((m) => ({
      name: m.ref,
      type: m.model,
      zone: m.yard,
      spot: m.loaners,
      status: m.status,
      ageS: m.age_s,
    })),
    more: parsed.data.truncated ?? false,
  };
}

/** Paths of the cloud's interface. */
export const cloudPaths = {
  catalog: '/catalog',
  provision: '/rentals',
  deprovision: '/rentals/return',
  /** Path of the page of machines that follow an id; '' for the first page. */
  machineList: (after: string): string =>
    `/rentals?limit=${LIST_PAGE_MACHINES}${after ? `&from=${encodeURIComponent(after)}` : ''}`,
};

/** A request to provision machines of one kind. */
export interface ProvisionRequest {
  type: string;
  zone: string;
  spot: boolean;
  count: number;
}

/** The body of a provisioning request. Repeated requests with the same id provision machines only once. */
export function provisionBody(requestId: string, request: ProvisionRequest): object {
  return {
    hire_order: requestId,
    model: request.type,
    yard: request.zone,
    loaners: request.spot,
    how_many: request.count,
  };
}

/** Parses the ids of the provisioned machines. */
export function parseProvisioned(body: unknown): string[] | null {
  const parsed = z.object({ velodromes: z.array(z.string()) }).safeParse(body);
  return parsed.success ? parsed.data.velodromes : null;
}

/** The body of a request that returns machines to the cloud. */
export function deprovisionBody(machines: string[]): object {
  return { velodromes: machines };
}
