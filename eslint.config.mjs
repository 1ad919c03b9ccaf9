import js from '@eslint/js';
import tseslint from 'typescript-eslint';

// Layers, lowest first. A file may import from its own layer and those below it.
const LAYERS = ['transport', 'protocol', 'storage', 'coordination', 'startup', 'cli'];

// Folders of the coordination layer, lowest first. A file may import from its own folder and those below it.
const COORDINATION_FOLDERS = [
  'membership',
  'pipeline',
  'partition',
  'fleet',
  'balancing',
  'leader',
  'requests',
  'controller',
];

/** Forbids imports from a folder of an ordered list into a higher one, and into the folders above the whole list. */
function forbidUpwardImports(root, folders, above = []) {
  return folders.map((folder, index) => ({
    files: [`${root}/${folder}/**/*.ts`],
    rules: {
      'no-restricted-imports': [
        'error',
        {
          patterns: [...folders.slice(index + 1), ...above].map((higher) => ({
            group: [`**/${higher}/*`],
            message: `${folder} must not import from ${higher}, which is a higher folder`,
          })),
        },
      ],
    },
  }));
}

// A package depends neither on the service nor on the internals of other packages: it declares what it needs of them.
const packageRules = {
  files: ['packages/*/src/**/*.ts', 'packages/*/test/**/*.ts'],
  languageOptions: {
    parserOptions: {
      project: ['./packages/*/tsconfig.json', './packages/*/test/tsconfig.json'],
      tsconfigRootDir: import.meta.dirname,
    },
  },
  rules: {
    'no-restricted-imports': [
      'error',
      {
        patterns: [
          {
            group: ['../../*', '../../../*'],
            message: 'a package must not import from the service or from the internals of another package',
          },
        ],
      },
    ],
  },
};

const typeChecked = {
  // node:test itself awaits the promise that `test` returns.
  '@typescript-eslint/no-floating-promises': [
    'error',
    { allowForKnownSafeCalls: [{ from: 'package', package: 'node:test', name: 'test' }] },
  ],
  '@typescript-eslint/no-misused-promises': ['error', { checksVoidReturn: false }],
  '@typescript-eslint/await-thenable': 'error',
  '@typescript-eslint/switch-exhaustiveness-check': ['error', { considerDefaultExhaustiveForUnions: true }],
};

const naming = [
  { selector: 'default', format: ['camelCase'] },
  { selector: 'variable', modifiers: ['const'], format: ['camelCase', 'UPPER_CASE'] },
  { selector: 'classProperty', modifiers: ['static', 'readonly'], format: ['camelCase', 'UPPER_CASE'] },
  { selector: 'parameter', format: ['camelCase'], leadingUnderscore: 'allow' },
  { selector: 'import', format: ['camelCase', 'PascalCase'] },
  { selector: 'typeLike', format: ['PascalCase'] },
  { selector: 'enumMember', format: ['PascalCase'] },
  // Names defined by other programs, such as headers and environment variables, and names of cases in tables.
  {
    selector: ['objectLiteralProperty', 'objectLiteralMethod', 'typeProperty'],
    modifiers: ['requiresQuotes'],
    format: null,
  },
];

/** For files that read and write messages, settings and stored values, whose key names are defined elsewhere. */
const serializedNaming = [
  ...naming,
  {
    selector: ['objectLiteralProperty', 'typeProperty', 'typeMethod'],
    format: null,
  },
  { selector: ['variable', 'parameter'], modifiers: ['destructured'], format: null },
];

// Names of the public protocol and of older stored values. Only the codecs of src/protocol map them to internal names.
const WIRE_NAMES =
  '/^(velodromes?|baton|permit|yards?|loaners|recall_s|pieces?|dispatcher|wind_down_s|how_many|hire_order|ledger_rev)$/';
const forbidWireNames = ['Identifier[name=', 'Literal[value='].map((selector) => ({
  selector: `${selector}${WIRE_NAMES}]`,
  message: 'wire names must be used only in src/protocol',
}));

export default tseslint.config(
  { ignores: ['target/**', 'target-test/**', 'node_modules/**', 'packages/*/index.js'] },
  js.configs.recommended,
  ...tseslint.configs.strict,
  ...forbidUpwardImports('src', LAYERS),
  ...forbidUpwardImports('src/coordination', COORDINATION_FOLDERS, ['startup', 'cli']),
  { files: ['**/*.mjs'], languageOptions: { globals: { process: 'readonly', console: 'readonly' } } },
  {
    files: ['src/**/*.ts', 'test/**/*.ts', 'tools/**/*.ts'],
    languageOptions: {
      parserOptions: { project: './tsconfig.test.json', tsconfigRootDir: import.meta.dirname },
    },
    rules: typeChecked,
  },
  packageRules,
  { files: ['packages/**/*.ts'], rules: typeChecked },
  {
    files: ['src/**/*.ts', 'packages/**/*.ts', 'tools/**/*.ts'],
    rules: { '@typescript-eslint/naming-convention': ['error', ...naming] },
  },
  {
    files: [
      'src/protocol/**/*.ts',
      'packages/load-balancer/src/settings.ts',
      'test/**/*.ts',
      'packages/*/test/**/*.ts',
      'tools/**/*.ts',
    ],
    rules: { '@typescript-eslint/naming-convention': ['error', ...serializedNaming] },
  },
  {
    files: ['src/**/*.ts', 'packages/*/src/**/*.ts'],
    ignores: ['src/protocol/**'],
    rules: { 'no-restricted-syntax': ['error', ...forbidWireNames] },
  },
  {
    files: ['src/**/*.ts', 'packages/*/src/**/*.ts', 'tools/**/*.ts'],
    rules: {
      'max-lines': ['error', { max: 400, skipBlankLines: true, skipComments: true }],
      'max-lines-per-function': ['error', { max: 60, skipBlankLines: true, skipComments: true }],
    },
  },
  {
    files: ['test/**/*.ts', 'packages/*/test/**/*.ts'],
    rules: { '@typescript-eslint/no-non-null-assertion': 'off' },
  },
);
