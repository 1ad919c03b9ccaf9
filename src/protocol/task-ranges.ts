/** Sets of task indices as text: ranges in ascending order, such as `0-3,7`. */

/** Encodes the indices of done tasks as ranges, up to the first range with which the text would exceed `maxLength` characters. */
export function encodeRanges(
  taskStates: Uint8Array,
  isDone: (value: number) => boolean,
  maxLength: number,
): string {
  let text = '';
  for (let first = 0; first < taskStates.length; first++) {
    if (!isDone(taskStates[first] as number)) continue;
    let last = first;
    while (last + 1 < taskStates.length && isDone(taskStates[last + 1] as number)) last++;
    const range = `${text ? ',' : ''}${first}${last > first ? `-${last}` : ''}`;
    if (text.length + range.length > maxLength) break;
    text += range;
    first = last;
  }
  return text;
}

/** Decodes ranges into the first and the last index of each. */
export function decodeRanges(text: string): [first: number, last: number][] {
  if (!text) return [];
  return text.split(',').map((range) => {
    const [first, last] = range.split('-');
    return [Number(first), Number(last ?? first)];
  });
}
