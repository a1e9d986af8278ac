package org.rhubarbrelay.config;

/** One back end of a service. Instances are immutable; each {@code with} method returns a copy. */
public final class Target {
    private static final int DEFAULT_SLOTS = 4;
    private static final int DEFAULT_MAX_CONNECTIONS = 200;

    private final String name;
    private final String host;
    private final int port;
    private final String zone;
    private final int slots;
    private final int maxConnections;

    private Target(String name, String host, int port, String zone, int slots, int maxConnections) {
        this.name = name;
        this.host = host;
        this.port = port;
        this.zone = zone;
        this.slots = slots;
        this.maxConnections = maxConnections;
    }

    /** Returns a target at an IP address and port in an availability zone, with the default limits. */
    public static Target of(String name, String ip, int port, String zone) {
        Checks.name("target", name);
        Checks.name("zone", zone);
        Checks.range("port", port, 1, 65_535);
        return new Target(name, IpAddresses.canonical(ip), port, zone, DEFAULT_SLOTS, DEFAULT_MAX_CONNECTIONS);
    }

    /** Sets the number of requests that the target runs at once. */
    public Target withSlots(int value) {
        return new Target(name, host, port, zone, Checks.range("slots", value, 1, Checks.MAX_COUNT), maxConnections);
    }

    /** Sets the limit of connections to the target over all instances. */
    public Target withMaxConnections(int value) {
        return new Target(name, host, port, zone, slots, Checks.range("max_connections", value, 1, Checks.MAX_COUNT));
    }

    String name() {
        return name;
    }

    String address() {
        return host + ":" + port;
    }

    void check() {
        if (maxConnections < slots) {
            throw new IllegalArgumentException("target " + name + ": max_connections " + maxConnections
                    + " must be at least the " + slots + " slots");
        }
    }

    void print(StringBuilder out, String service) {
        out.append("[target ").append(service).append(' ').append(name).append("]\n");
        out.append("address = ").append(address()).append('\n');
        out.append("zone = ").append(zone).append('\n');
        out.append("slots = ").append(slots).append('\n');
        out.append("max_connections = ").append(maxConnections).append('\n');
    }
}
