// The build puts compiled code below the repository's `target/`, where a package's `main` cannot point by itself.
module.exports = require('../../target/packages/load-balancer/src/index.js');
