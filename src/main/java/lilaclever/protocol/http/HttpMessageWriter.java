package lilaclever.protocol.http;

import java.nio.charset.StandardCharsets;
import java.util.Map;

/** Encodes an HTTP message, head and body, as one byte array. */
final class HttpMessageWriter {
    private final StringBuilder text;

    private HttpMessageWriter(String startLine) {
        text = new StringBuilder(256).append(startLine).append("\r\n");
    }

    /** Encodes a request; Content-Length is written even for an empty body. */
    static byte[] request(String method, String path, String host, Map<String, String> headers, byte[] body) {
        return new HttpMessageWriter(method + ' ' + path + " HTTP/1.1")
                .with("Host", host)
                .with(headers)
                .build(body);
    }

    /** Encodes a response. */
    static byte[] response(int status, Map<String, String> headers, boolean close, byte[] body) {
        HttpMessageWriter writer = new HttpMessageWriter("HTTP/1.1 " + status + ' ' + reason(status)).with(headers);
        return (close ? writer.with("Connection", "close") : writer).build(body);
    }

    private static String reason(int status) {
        return switch (status) {
            case 200 -> "OK";
            case 202 -> "Accepted";
            case 400 -> "Bad Request";
            case 404 -> "Not Found";
            case 408 -> "Request Timeout";
            case 411 -> "Length Required";
            case 413 -> "Content Too Large";
            case 431 -> "Request Header Fields Too Large";
            case 501 -> "Not Implemented";
            case 503 -> "Service Unavailable";
            case 505 -> "HTTP Version Not Supported";
            default -> status < 500 ? "Refused" : "Failed";
        };
    }

    private HttpMessageWriter with(Map<String, String> headers) {
        headers.forEach(this::with);
        return this;
    }

    private HttpMessageWriter with(String name, String value) {
        // Values from outside were validated on arrival: a line break here would inject a header.
        assert value.chars().allMatch(c -> c >= ' ' && c != 0x7f) : name;
        text.append(name).append(": ").append(value).append("\r\n");
        return this;
    }

    private byte[] build(byte[] body) {
        byte[] head = text.append("Content-Length: ")
                .append(body.length)
                .append("\r\n\r\n")
                .toString()
                .getBytes(StandardCharsets.ISO_8859_1);
        byte[] message = new byte[head.length + body.length];
        System.arraycopy(head, 0, message, 0, head.length);
        System.arraycopy(body, 0, message, head.length, body.length);
        return message;
    }
}
