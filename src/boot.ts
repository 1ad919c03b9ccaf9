import { readFileSync } from 'node:fs';
import { join } from 'node:path';
import { Script } from 'node:vm';

// Starts the bundled program with the V8 code cache written at build time (see tools/bundle.mjs). If V8 rejects the cache,
// it compiles the source as usual.
const path = join(__dirname, 'bundle.js');
const script = new Script(readFileSync(path, 'utf8'), {
  filename: path,
  cachedData: readFileSync(join(__dirname, 'bundle.code')),
});
(script.runInThisContext() as (...scope: unknown[]) => void)(exports, require, module, path, __dirname);
