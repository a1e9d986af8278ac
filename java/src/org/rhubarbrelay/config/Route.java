package org.rhubarbrelay.config;

import java.time.Duration;

/**
 * The properties of the requests whose method and path match. Instances are immutable; each
 * {@code with} or mark method returns a copy.
 */
public final class Route {
    private final Method method;
    private final String path;
    private final Boolean idempotent;
    private final boolean longRunning;
    private final Duration deadline;

    private Route(Method method, String path, Boolean idempotent, boolean longRunning, Duration deadline) {
        this.method = method;
        this.path = path;
        this.idempotent = idempotent;
        this.longRunning = longRunning;
        this.deadline = deadline;
    }

    /** Returns a route without marks for the requests whose path starts with the prefix. */
    public static Route of(Method method, String pathPrefix) {
        if (method == null) {
            throw new IllegalArgumentException("route of \"" + pathPrefix + "\": no method");
        }
        return new Route(method, Checks.path(pathPrefix), null, false, null);
    }

    /** Allows more than one attempt of a request. */
    public Route idempotent() {
        return new Route(method, path, true, longRunning, deadline);
    }

    /** Allows at most one attempt of a request. */
    public Route nonIdempotent() {
        return new Route(method, path, false, longRunning, deadline);
    }

    /** Marks requests that run many times longer than the service's others. */
    public Route longRunning() {
        return new Route(method, path, idempotent, true, deadline);
    }

    /** Replaces the service's deadline. */
    public Route withDeadline(Duration value) {
        return new Route(method, path, idempotent, longRunning, Checks.duration("deadline", value));
    }

    String key() {
        return method + " " + path;
    }

    void print(StringBuilder out, String service) {
        out.append("[route ").append(service).append(' ').append(key()).append("]\n");
        if (idempotent != null) {
            out.append("idempotent = ").append(idempotent).append('\n');
        }
        if (longRunning) {
            out.append("long = true\n");
        }
        if (deadline != null) {
            out.append("deadline = ").append(Durations.text(deadline)).append('\n');
        }
    }
}
