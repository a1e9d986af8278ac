package org.rhubarbrelay.config;

import java.time.Duration;

/**
 * Limits on the size of requests, the time to receive a request header and the idle time of
 * connections.
 */
public record Limits(int maxHeaderBytes, int maxBodyBytes, Duration headerTimeout, Duration idleTimeout) {
    /** Validates the values. */
    public Limits {
        Checks.range("max_header_bytes", maxHeaderBytes, 1, Integer.MAX_VALUE);
        Checks.range("max_body_bytes", maxBodyBytes, 1, Integer.MAX_VALUE);
        Checks.duration("header_timeout", headerTimeout);
        Checks.duration("idle_timeout", idleTimeout);
    }

    void print(StringBuilder out) {
        out.append("[limits]\n");
        out.append("max_header_bytes = ").append(maxHeaderBytes).append('\n');
        out.append("max_body_bytes = ").append(maxBodyBytes).append('\n');
        out.append("header_timeout = ").append(Durations.format(headerTimeout)).append('\n');
        out.append("idle_timeout = ").append(Durations.format(idleTimeout)).append('\n');
    }
}
