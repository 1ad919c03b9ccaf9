// Bundles the program into a few files and writes a V8 code cache for the main one. A controller has a small share of a
// core: reading and compiling several hundred files would take seconds at every start.
import { build } from 'esbuild';
import { readFileSync, writeFileSync } from 'node:fs';
import { createRequire } from 'node:module';
import { join } from 'node:path';
import { Script } from 'node:vm';

const root = join(import.meta.dirname, '..');
// Libraries and modules that a start does not need. They are kept out of the main file and read on first use.
const lazyLibraries = ['fengari', 'hdr-histogram-js'];
const lazyModules = {
  './coordination/requests/express-app': 'express-app',
  './cli/command-line': 'command-line',
  './startup/optional-features': 'optional-features',
};
const commonOptions = {
  bundle: true,
  minify: true,
  keepNames: true,
  platform: 'node',
  target: 'node20',
  format: 'cjs',
  // The program runs as a script of `vm`, which does not support dynamic import: it becomes a `require` in the same place.
  supported: { 'dynamic-import': false },
  logLevel: 'error',
  // Prefers ES modules, whose declared exports let unused code be left out: all but a tenth of rxjs, for example.
  mainFields: ['module', 'main'],
  alias: { rxjs: join(root, 'node_modules/rxjs/dist/esm/index.js'), avsc: 'avsc/lib/types' },
};

const separateLazyFiles = {
  name: 'separate-lazy-files',
  setup(build) {
    const filter = new RegExp(
      `^(${lazyLibraries.join('|')})$|/(express-app|command-line|optional-features)$`,
    );
    build.onResolve({ filter }, ({ path, kind, importer }) => {
      if (lazyLibraries.includes(path)) return { path: `./${path}.js`, external: true };
      const name = path.split('/').pop();
      const isLazy = kind === 'dynamic-import' && Object.values(lazyModules).includes(name);
      return isLazy && importer !== '' ? { path: `./${name}.js`, external: true } : undefined;
    });
  },
};

// Texts in forty languages and character set tables that no caller uses would be half of the code to read.
const stubUnusedFiles = {
  name: 'stub-unused-files',
  setup(build) {
    // A stub has the module format of the file that it replaces: in an ES module, `module.exports` is that of the bundle.
    const stub = (filter, contents) => build.onLoad({ filter }, () => ({ contents, loader: 'js' }));
    stub(/zod.v4.locales.index\.m?js$/, 'export {}');
    stub(/zod.v4.locales.index\.cjs$/, 'module.exports = {}');
    stub(/iconv-lite.encodings.(tables.*|sbcs-data.*|dbcs-data.*)$/, 'module.exports = {}');
    // Of two thousand media types one is used; sorting them all would take longer than any of the program's own code.
    const mediaTypes = { 'application/json': { source: 'iana', charset: 'UTF-8', extensions: ['json'] } };
    build.onLoad({ filter: /mime-db.db\.json$/ }, () => ({
      contents: JSON.stringify(mediaTypes),
      loader: 'json',
    }));
  },
};

for (const name of lazyLibraries) {
  const stdin = { contents: `module.exports = require('${name}')`, resolveDir: root };
  await build({ ...commonOptions, stdin, outfile: `target/${name}.js` });
}
for (const [path, name] of Object.entries(lazyModules)) {
  const entryPoints = [join(root, 'src', `${path}.ts`)];
  await build({
    ...commonOptions,
    plugins: [separateLazyFiles, stubUnusedFiles],
    entryPoints,
    outfile: `target/${name}.js`,
  });
}
await build({
  ...commonOptions,
  plugins: [separateLazyFiles, stubUnusedFiles],
  entryPoints: [join(root, 'src/main.ts')],
  outfile: 'target/bundle.js',
  banner: { js: '(function (exports, require, module, __filename, __dirname) {' },
  footer: { js: '})' },
});

// Running the bundle once, with no work to do, makes V8 compile the functions that every start needs.
const source = readFileSync('target/bundle.js', 'utf8');
const script = new Script(source, { filename: 'bundle.js' });
process.argv = [process.argv[0], 'heathbridge', '--warm-up'];
const require = createRequire(import.meta.url);
const module = { exports: {} };
script.runInThisContext()(module.exports, require, module, 'bundle.js', 'target');
writeFileSync('target/bundle.code', script.createCachedData());
