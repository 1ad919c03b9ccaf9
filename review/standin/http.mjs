import http from 'node:http';

export async function readJson(req) {
  const chunks = [];
  for await (const chunk of req) chunks.push(chunk);
  const text = Buffer.concat(chunks).toString('utf8');
  return text ? JSON.parse(text) : undefined;
}

export function sendJson(res, status, content) {
  if (res.destroyed) return;
  const text = JSON.stringify(content);
  res.writeHead(status, { 'content-type': 'application/json', 'content-length': Buffer.byteLength(text) }).end(text);
}

/** Sends a request; resolves to {status, body, retryAfter}, or null without a usable response within `timeoutMs`. */
export function call(port, method, path, body, timeoutMs, agent = undefined) {
  return new Promise((resolve) => {
    const payload = body === undefined ? '' : JSON.stringify(body);
    const headers = body === undefined ? {} : { 'content-type': 'application/json', 'content-length': Buffer.byteLength(payload) };
    const req = http.request({ host: '127.0.0.1', port, method, path, headers, agent: agent ?? new http.Agent() });
    const timer = setTimeout(() => req.destroy(), timeoutMs);
    const finish = (result) => {
      clearTimeout(timer);
      resolve(result);
    };
    req.on('response', (res) => {
      const chunks = [];
      res.on('data', (c) => chunks.push(c));
      res.on('error', () => finish(null));
      res.on('close', () => finish(null));
      res.on('end', () => {
        const text = Buffer.concat(chunks).toString('utf8');
        let parsed = null;
        try {
          parsed = JSON.parse(text || '{}');
        } catch {}
        finish({ status: res.statusCode, body: parsed, retryAfter: Number(res.headers['retry-after'] ?? 0) });
      });
    });
    req.on('error', () => finish(null));
    req.end(payload);
  });
}
