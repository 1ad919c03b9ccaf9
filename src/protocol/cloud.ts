import { z } from 'zod';

/*
 * Requests to the cloud and its responses. Wire terms: `models` machine types, `label` name of a type, `yards` zones, `rate`
 * price, `ready_s` time to boot, `local_gb` cache for images, `velodromes` machines, `ref` machine id, `loaners` spot,
 * `hire_order` id of a request, `rentals` machines provisioned. Parsers return null for a malformed body.
 */

/** A kind of machine that the cloud offers. Stored as it is under the catalog's key. */
export interface MachineType {
  name: string;
  cpus: number;
  accelerators: number;
  memoryGb: number;
  cacheGb: number;
  fetchGbPerS: number;
  price: number;
  spotPrice: number;
  /** Seconds from the request until its worker may run tasks. */
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

/** The machine types of the cloud's catalog. */
export function parseCatalog(body: unknown): MachineType[] | null {
  const read = z.object({ models: z.array(machineTypeSchema) }).safeParse(body);
  if (!read.success) return null;
  return read.data.models.map((m) => ({
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

/** One page of the cloud's list; `more`: machines follow the last one. */
export function parseMachineList(body: unknown): { machines: ListedMachine[]; more: boolean } | null {
  const read = machineListSchema.safeParse(body);
  if (!read.success) return null;
  return {
    machines: read.data.velodromes.map((m) => ({
      name: m.ref,
      type: m.model,
      zone: m.yard,
      spot: m.loaners,
      status: m.status,
      ageS: m.age_s,
    })),
    more: read.data.truncated ?? false,
  };
}

/** Paths of the cloud's interface. */
export const cloudPaths = {
  catalog: '/catalog',
  provision: '/rentals',
  deprovision: '/rentals/return',
  /** A page of machines: those after an id, '' for the first ones. */
  machineList: (after: string): string =>
    `/rentals?limit=${LIST_PAGE_MACHINES}${after ? `&from=${encodeURIComponent(after)}` : ''}`,
};

/** A request for machines of one kind. */
export interface ProvisionRequest {
  type: string;
  zone: string;
  spot: boolean;
  count: number;
}

/** The body of a request for machines. A repeated request with one id provisions once. */
export function provisionBody(requestId: string, request: ProvisionRequest): object {
  return {
    hire_order: requestId,
    model: request.type,
    yard: request.zone,
    loaners: request.spot,
    how_many: request.count,
  };
}

/** The ids of machines that were provisioned. */
export function parseProvisioned(body: unknown): string[] | null {
  const read = z.object({ velodromes: z.array(z.string()) }).safeParse(body);
  return read.success ? read.data.velodromes : null;
}

/** The body of a request that gives machines back. */
export function deprovisionBody(machines: string[]): object {
  return { velodromes: machines };
}
