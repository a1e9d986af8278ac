package org.rhubarbrelay.config;

/** A named set of targets, which register themselves. Services are immutable. */
public final class Service {
    private final String name;
    private final String healthPath;
    private final int maxConnections;

    private Service(String name, String healthPath, int maxConnections) {
        this.name = name;
        this.healthPath = healthPath;
        this.maxConnections = maxConnections;
    }

    /** Returns a service whose targets respond to health probes at the given path. */
    public static Service named(String name, String healthPath) {
        return new Service(Checks.name("service", name), Checks.path(healthPath), 0);
    }

    /**
     * Returns a copy with the maximum number of connections that all instances together open to one
     * target. Without it, the instances use their default.
     */
    public Service withMaxConnections(int value) {
        return new Service(name, healthPath, Checks.range("max_connections", value, 1, Checks.MAX_COUNT));
    }

    /** Returns the name by which routes refer to the service. */
    public String name() {
        return name;
    }

    void print(StringBuilder out) {
        out.append("[service ").append(name).append("]\n");
        out.append("health_path = ").append(healthPath).append('\n');
        out.append("max_connections = ").append(maxConnections).append('\n');
    }
}
