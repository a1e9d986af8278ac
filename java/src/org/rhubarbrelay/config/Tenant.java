package org.rhubarbrelay.config;

import java.math.BigDecimal;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Pattern;

/**
 * A group of callers that share API keys and a quota. Tenants are immutable: the methods that change
 * a property return a copy. The text form of a tenant contains its keys; error messages do not.
 */
public final class Tenant {
    private static final Pattern KEY = Pattern.compile("[!-~&&[^,\"`'#;\\\\]]{16,1024}");

    private final String name;
    private final List<String> keys;
    private final int priority;
    private final double ratePerSecond;
    private final double burst;

    private Tenant(String name, List<String> keys, int priority, double ratePerSecond, double burst) {
        this.name = name;
        this.keys = keys;
        this.priority = priority;
        this.ratePerSecond = ratePerSecond;
        this.burst = burst;
    }

    /** Returns a tenant with one API key, priority 0 and no quota. */
    public static Tenant of(String name, String key) {
        return new Tenant(Checks.name("tenant", name), List.of(), 0, 0, 0).withKey(key);
    }

    /** Returns a copy with an additional API key. */
    public Tenant withKey(String key) {
        if (key == null || !KEY.matcher(key).matches() || keys.contains(key)) {
            throw new IllegalArgumentException("tenant " + name + ": API key " + (keys.size() + 1)
                    + " must differ from the others and have 16 to 1024 printable ASCII characters, none of ,\"`'#;\\");
        }
        List<String> extended = new ArrayList<>(keys);
        extended.add(key);
        return new Tenant(name, List.copyOf(extended), priority, ratePerSecond, burst);
    }

    /** Returns a copy with the given priority, which replaces that of the routes; 0 is the highest. */
    public Tenant withPriority(int value) {
        return new Tenant(name, keys, Checks.range("priority", value, 0, Checks.MAX_COUNT), ratePerSecond, burst);
    }

    /**
     * Returns a copy with a quota: the number of requests per second that all instances together accept,
     * and the number that they accept in addition after a pause.
     */
    public Tenant withQuota(double ratePerSecond, double burst) {
        return new Tenant(name, keys, priority, Checks.figure("rate_per_second", ratePerSecond),
                Checks.figure("burst", burst));
    }

    String name() {
        return name;
    }

    List<String> keys() {
        return keys;
    }

    void print(StringBuilder out) {
        out.append("[tenant ").append(name).append("]\n");
        out.append("api_keys = ").append(String.join(", ", keys)).append('\n');
        out.append("priority = ").append(priority).append('\n');
        out.append("rate_per_second = ").append(decimal(ratePerSecond)).append('\n');
        out.append("burst = ").append(decimal(burst)).append('\n');
    }

    private static String decimal(double value) {
        return value == 0 ? "0" : BigDecimal.valueOf(value).stripTrailingZeros().toPlainString();
    }
}
