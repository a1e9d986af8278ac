package org.rhubarbrelay.config;

import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * Routes the requests of a host whose path begins with a prefix to one or more services. Routes are
 * immutable: the methods that change a property return a copy.
 */
public final class Route {
    private final String name;
    private final String host;
    private final String prefix;
    private final boolean idempotent;
    private final boolean isPublic;
    private final Duration objective;
    private final Duration timeout;
    private final int attempts;
    private final int priority;
    private final Map<String, Integer> weights;

    private Route(String name, String host, String prefix, boolean idempotent, boolean isPublic, Duration objective,
            Duration timeout, int attempts, int priority, Map<String, Integer> weights) {
        this.name = name;
        this.host = host;
        this.prefix = prefix;
        this.idempotent = idempotent;
        this.isPublic = isPublic;
        this.objective = objective;
        this.timeout = timeout;
        this.attempts = attempts;
        this.priority = priority;
        this.weights = weights;
    }

    /**
     * Returns a route without services, whose requests are run at most once. The prefix must
     * begin and end with a slash.
     */
    public static Route of(String host, String prefix, Duration timeout) {
        if (!Checks.path(prefix).endsWith("/")) {
            throw new IllegalArgumentException("path prefix \"" + prefix + "\": must end with \"/\"");
        }
        String checked = Checks.name("host", host);
        return new Route(checked + prefix, checked, prefix, false, false, Duration.ZERO, Checks.duration("timeout", timeout),
                1, 0, Map.of());
    }

    /** Returns a copy with the given name. */
    public Route named(String value) {
        return new Route(Checks.name("route", value), host, prefix, idempotent, isPublic, objective, timeout, attempts, priority,
                weights);
    }

    /** Returns a copy whose requests are idempotent, so that they may be run more than once. */
    public Route idempotent() {
        return new Route(name, host, prefix, true, isPublic, objective, timeout, attempts, priority, weights);
    }

    /** Returns a copy whose requests need no API key. */
    public Route open() {
        return new Route(name, host, prefix, idempotent, true, objective, timeout, attempts, priority, weights);
    }

    /**
     * Returns a copy with the given latency objective: the time within which callers should get a
     * response.
     */
    public Route withObjective(Duration value) {
        return new Route(name, host, prefix, idempotent, isPublic, Checks.duration("objective", value), timeout, attempts,
                priority, weights);
    }

    /**
     * Returns a copy with the maximum number of times that a request is sent to targets, retries and
     * hedges included.
     */
    public Route withAttempts(int value) {
        return new Route(name, host, prefix, idempotent, isPublic, objective, timeout,
                Checks.range("attempts", value, 1, Checks.MAX_ATTEMPTS), priority, weights);
    }

    /** Returns a copy with the given priority; 0 is the highest. */
    public Route withPriority(int value) {
        return new Route(name, host, prefix, idempotent, isPublic, objective, timeout, attempts,
                Checks.range("priority", value, 0, Checks.MAX_COUNT), weights);
    }

    /** Returns a copy with an additional service and its weight in the traffic split. */
    public Route to(Service service, int weight) {
        Map<String, Integer> extended = new LinkedHashMap<>(weights);
        if (extended.put(service.name(), Checks.range("weight", weight, 0, Checks.MAX_COUNT)) != null) {
            throw new IllegalArgumentException("route " + key() + ": service " + service.name() + " appears twice");
        }
        return new Route(name, host, prefix, idempotent, isPublic, objective, timeout, attempts, priority, extended);
    }

    /**
     * Returns a copy with an additional service of weight 1. The weight has no effect while the route
     * has no other service.
     */
    public Route to(Service service) {
        return to(service, 1);
    }

    String key() {
        return host + prefix;
    }

    Set<String> services() {
        return weights.keySet();
    }

    void print(StringBuilder out) {
        out.append("[route ").append(host).append(' ').append(prefix).append("]\n");
        out.append("name = ").append(name).append('\n');
        out.append("idempotent = ").append(idempotent).append('\n');
        out.append("objective = ").append(Durations.format(objective)).append('\n');
        out.append("timeout = ").append(Durations.format(timeout)).append('\n');
        out.append("attempts = ").append(attempts).append('\n');
        out.append("priority = ").append(priority).append('\n');
        if (isPublic) {
            out.append("public = true\n");
        }
        out.append("services = ").append(formatSplit()).append('\n');
    }

    private String formatSplit() {
        if (weights.size() == 1) {
            return weights.keySet().iterator().next();
        }
        return weights.entrySet().stream().map(e -> e.getKey() + ":" + e.getValue()).collect(Collectors.joining(", "));
    }
}
