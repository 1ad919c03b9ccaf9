import { FleetValueBuilder, type FleetWrite } from '../protocol/records';

/** The id of a machine and the record to write for it. */
export type MachineWrite = readonly [string, FleetWrite];

interface Part {
  machines: MachineWrite[];
  builder: FleetValueBuilder;
}

/** Distributes machines of one partition over fleet values of a limited size. */
export class FleetPacker {
  private readonly partList: Part[] = [];

  /**
   * @param valueBytes Size in bytes up to which values are filled.
   * @param maxValueBytes Size in bytes up to which a value may hold a single machine that does not fit into `valueBytes`.
   * @param maxMachines Maximum number of machines in one value.
   */
  constructor(
    private readonly valueBytes: number,
    private readonly maxValueBytes = valueBytes,
    private readonly maxMachines = Infinity,
  ) {}

  /** The encoded values; none is empty. */
  get values(): unknown[][] {
    return this.partList.map(({ builder }) => builder.groups);
  }

  /** The machines of each value. */
  get parts(): (readonly MachineWrite[])[] {
    return this.partList.map(({ machines }) => machines);
  }

  /** Adds a machine to the last value, or to a new one if it does not fit there. Returns false if it fits into no value. */
  add(machine: MachineWrite): boolean {
    const last = this.partList.at(-1);
    return (last !== undefined && this.addTo(last, machine, this.valueBytes)) || this.addPart(machine);
  }

  private addTo(part: Part, machine: MachineWrite, maxBytes: number): boolean {
    if (part.machines.length >= this.maxMachines || !part.builder.tryAdd(...machine, maxBytes)) return false;
    part.machines.push(machine);
    return true;
  }

  private addPart(machine: MachineWrite): boolean {
    const part: Part = { machines: [], builder: new FleetValueBuilder() };
    if (!this.addTo(part, machine, this.maxValueBytes)) return false;
    this.partList.push(part);
    return true;
  }
}
