"""HTTP/1.1 messages on asyncio streams."""

import asyncio


async def read_head(reader):
    """Return the first line and the header fields; None at the end."""
    try:
        block = await reader.readuntil(b'\r\n\r\n')
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = block[:-4].decode('latin-1').split('\r\n')
    fields = {}
    for line in lines[1:]:
        name, _, content = line.partition(':')
        fields[name.strip().lower()] = content.strip()
    return lines[0], fields


async def read_body(reader, fields):
    """Return the body that the header announces."""
    if fields.get('transfer-encoding', '').lower() == 'chunked':
        body = b''
        while True:
            size = int((await reader.readline()).split(b';')[0], 16)
            body += await reader.readexactly(size)
            await reader.readexactly(2)
            if not size:
                return body
    return await reader.readexactly(int(fields.get('content-length', 0)))


def format_message(first_line, fields, body=b''):
    """Return the bytes of a message with a content length."""
    lines = [first_line, *(f'{name}: {content}' for name, content in fields)]
    lines.append(f'Content-Length: {len(body)}')
    return '\r\n'.join(lines).encode('latin-1') + b'\r\n\r\n' + body
