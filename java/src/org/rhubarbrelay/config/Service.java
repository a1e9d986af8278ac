package org.rhubarbrelay.config;

/** A named set of targets, which register themselves. Instances are immutable. */
public final class Service {
    private final String name;
    private final String healthPath;
    private final int maxConnections;

    private Service(String name, String healthPath, int maxConnections) {
        this.name = name;
        this.healthPath = healthPath;
        this.maxConnections = maxConnections;
    }

    /** Returns a service whose targets answer health checks at the path. */
    public static Service named(String name, String healthPath) {
        return new Service(Checks.name("service", name), Checks.path(healthPath), 0);
    }

    /** Bounds the connections of all callers to one target. */
    public Service withMaxConnections(int value) {
        return new Service(name, healthPath, Checks.range("max_connections", value, 1, Checks.MAX_COUNT));
    }

    /** Returns the name that routes refer to. */
    public String name() {
        return name;
    }

    void print(StringBuilder out) {
        out.append("[service ").append(name).append("]\n");
        out.append("health_path = ").append(healthPath).append('\n');
        out.append("max_connections = ").append(maxConnections).append('\n');
    }
}
