package org.rhubarbrelay.config;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/** A named set of targets with the limits and deadlines that its callers expect. */
public final class Service {
    private final Builder values;
    private final List<Target> targets;
    private final List<Route> routes;

    private Service(Builder builder) {
        values = builder.copy();
        targets = List.copyOf(builder.targets);
        routes = List.copyOf(builder.routes);
    }

    /** Returns a builder in which every key has its default. */
    public static Builder named(String name) {
        return new Builder(Checks.name("service", name));
    }

    /** Returns the name under which callers ask for the service. */
    public String name() {
        return values.name;
    }

    List<Target> targets() {
        return targets;
    }

    /** Returns the service in the canonical text form. */
    @Override
    public String toString() {
        StringBuilder out = new StringBuilder();
        values.print(out);
        for (Target target : targets) {
            out.append('\n');
            target.print(out, values.name);
        }
        for (Route route : routes) {
            out.append('\n');
            route.print(out, values.name);
        }
        return out.toString();
    }

    /** Collects the values of a service. */
    public static final class Builder {
        private final String name;
        private final List<Target> targets = new ArrayList<>();
        private final List<Route> routes = new ArrayList<>();
        private Policy policy = Policy.SLOTS;
        private Duration deadline = Duration.ofSeconds(1);
        private Duration maxWait = Duration.ofMillis(40);
        private int maxQueue = 512;
        private int entryPerZone = 1;
        private boolean singlePrimary;
        private int retryPercent = 10;
        private Duration probeInterval = Duration.ofSeconds(5);
        private int longPercent = 50;
        private int ejectPercent = 40;

        private Builder(String name) {
            this.name = name;
        }

        /** Selects how requests are spread over targets. */
        public Builder policy(Policy value) {
            if (value == null) {
                throw new IllegalArgumentException("service " + name + ": no policy");
            }
            policy = value;
            return this;
        }

        /** Bounds a request without a deadline of its own and caps the others. */
        public Builder deadline(Duration value) {
            deadline = Checks.duration("deadline", value);
            return this;
        }

        /** Bounds the wait for a slot, after which a request is refused as not run. */
        public Builder maxWait(Duration value) {
            maxWait = Checks.duration("max_wait", value);
            return this;
        }

        /** Bounds the number of waiting requests on one instance. */
        public Builder maxQueue(int value) {
            maxQueue = Checks.range("max_queue", value, 0, Checks.MAX_COUNT);
            return this;
        }

        /** Sets the number of instances in each zone that the entry answer names. */
        public Builder entryPerZone(int value) {
            entryPerZone = Checks.range("entry_per_zone", value, 1, Checks.MAX_ENTRY_PER_ZONE);
            return this;
        }

        /** Puts one instance first for the callers of all zones. */
        public Builder singlePrimary() {
            singlePrimary = true;
            return this;
        }

        /** Sets the additional attempts allowed per hundred requests. */
        public Builder retryPercent(int value) {
            retryPercent = Checks.range("retry_percent", value, 0, 100);
            return this;
        }

        /** Sets the shortest time between two probes of one target, over all instances. */
        public Builder probeInterval(Duration value) {
            probeInterval = Checks.duration("probe_interval", value);
            return this;
        }

        /** Sets the largest share of slots that long requests may hold. */
        public Builder longPercent(int value) {
            longPercent = Checks.range("long_percent", value, 0, 100);
            return this;
        }

        /** Sets the largest share of targets that may be ejected at once. */
        public Builder ejectPercent(int value) {
            ejectPercent = Checks.range("eject_percent", value, 0, 100);
            return this;
        }

        /** Adds a target. */
        public Builder target(Target value) {
            targets.add(value);
            return this;
        }

        /** Adds a route. */
        public Builder route(Route value) {
            routes.add(value);
            return this;
        }

        /** Returns the service, or throws IllegalArgumentException for values that contradict each other. */
        public Service build() {
            if (maxWait.compareTo(deadline) >= 0) {
                throw new IllegalArgumentException("service " + name + ": max_wait " + Durations.text(maxWait)
                        + " must be shorter than the deadline " + Durations.text(deadline));
            }
            Set<String> seen = new HashSet<>();
            for (Target target : targets) {
                target.check();
                once(seen, "target " + target.name());
                once(seen, "address " + target.address());
            }
            for (Route route : routes) {
                once(seen, "route " + route.key());
            }
            return new Service(this);
        }

        private void once(Set<String> seen, String thing) {
            if (!seen.add(thing)) {
                throw new IllegalArgumentException("service " + name + ": " + thing + " appears twice");
            }
        }

        private Builder copy() {
            Builder copy = new Builder(name);
            copy.policy = policy;
            copy.deadline = deadline;
            copy.maxWait = maxWait;
            copy.maxQueue = maxQueue;
            copy.entryPerZone = entryPerZone;
            copy.singlePrimary = singlePrimary;
            copy.retryPercent = retryPercent;
            copy.probeInterval = probeInterval;
            copy.longPercent = longPercent;
            copy.ejectPercent = ejectPercent;
            return copy;
        }

        private void print(StringBuilder out) {
            out.append("[service ").append(name).append("]\n");
            out.append("policy = ").append(policy.text()).append('\n');
            out.append("deadline = ").append(Durations.text(deadline)).append('\n');
            out.append("max_wait = ").append(Durations.text(maxWait)).append('\n');
            out.append("max_queue = ").append(maxQueue).append('\n');
            out.append("entry_per_zone = ").append(entryPerZone).append('\n');
            out.append("single_primary = ").append(singlePrimary).append('\n');
            out.append("retry_percent = ").append(retryPercent).append('\n');
            out.append("probe_interval = ").append(Durations.text(probeInterval)).append('\n');
            out.append("long_percent = ").append(longPercent).append('\n');
            out.append("eject_percent = ").append(ejectPercent).append('\n');
        }
    }
}
