// The `main` of this package. It loads the compiled code, which the build writes to the repository's `target/`, outside the package.
module.exports = require('../../target/packages/load-balancer/src/index.js');
