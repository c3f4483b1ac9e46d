"""Stand-in for the users' key-value store: the calls that the entry instances make, and ways to make it fail."""
import asyncio
import base64
import json
import urllib.parse

from http_wire import Server, encode_answer, read_message

RANGE_PAGE_ITEMS = 50


class Store:
    """Keys with revisions, watches and conditional writes, served on one port."""

    def __init__(self):
        self.revision, self.items, self.history = 1, {}, []
        self.compacted_revision = 0
        self.call_counts = {}
        self._changed = asyncio.Condition()
        self._server = Server(self._serve)

    async def start(self, port):
        await self._server.start(port)

    def stop(self):
        self._server.stop()

    async def put(self, key, value):
        """Writes a key without a condition, as an operator or endpoint does; returns the new revision."""
        text = base64.b64encode(value if isinstance(value, bytes) else json.dumps(value).encode()).decode()
        return await self._write([(key, text)], [])

    async def delete(self, key):
        return await self._write([], [key])

    def compact(self):
        """Drops the history: a watch from an earlier revision is answered 410."""
        self.compacted_revision, self.history = self.revision, []

    async def _write(self, writes, deletes):
        self.revision += 1
        for key, text in writes:
            created = self.items.get(key, {}).get("created", self.revision)
            self.items[key] = {"key": key, "value": text, "revision": self.revision, "created": created, "lease": 0}
            self.history.append(dict(self.items[key]))
        for key in deletes:
            if self.items.pop(key, None):
                self.history.append({"key": key, "revision": self.revision, "tombstone": True})
        async with self._changed:
            self._changed.notify_all()
        return self.revision

    async def _serve(self, reader, writer):
        while True:
            request = await read_message(reader)
            path, _, query = request.start_line[1].partition("?")
            fields = dict(urllib.parse.parse_qsl(query))
            self.call_counts[path] = self.call_counts.get(path, 0) + 1
            status, body = await self._answer(path, fields, request.body)
            writer.write(encode_answer(status, json.dumps(body).encode(), {"Content-Type": "application/json"}))
            await writer.drain()

    async def _answer(self, path, fields, body):
        if path == "/-/kv-key":
            item = self.items.get(fields["key"])
            return (200, {**item, "asOf": self.revision}) if item else (404, {"asOf": self.revision})
        if path == "/-/kv-range":
            return 200, self._range(fields["prefix"], fields.get("after", ""))
        if path == "/-/kv-watch":
            return await self._watch(fields["prefix"], int(fields["after"]), int(fields["waitMs"]) / 1000)
        if path == "/-/kv-txn":
            return await self._transact(json.loads(body))
        return 400, {"error": "unknown call"}

    def _range(self, prefix, after):
        keys = sorted(key for key in self.items if key.startswith(prefix) and key > after)
        items = [self.items[key] for key in keys[:RANGE_PAGE_ITEMS]]
        return {"items": items, "truncated": len(keys) > RANGE_PAGE_ITEMS, "asOf": self.revision}

    async def _watch(self, prefix, after, wait_s):
        if after < self.compacted_revision:
            return 410, {}

        def events():
            return [item for item in self.history if item["revision"] > after and item["key"].startswith(prefix)]

        try:
            async with self._changed:
                await asyncio.wait_for(self._changed.wait_for(events), wait_s)
        except asyncio.TimeoutError:
            pass
        return 200, {"events": events(), "asOf": self.revision}

    async def _transact(self, request):
        for row in request["expectedRev"]:
            if self.items.get(row["key"], {}).get("revision", 0) != row["revision"]:
                found = [self.items[row["key"]] for row in request["expectedRev"] if row["key"] in self.items]
                return 412, {"items": found}
        writes = [(write["key"], write["value"]) for write in request["writes"]]
        return 200, {"revision": await self._write(writes, request["deletes"])}
