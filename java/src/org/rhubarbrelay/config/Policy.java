package org.rhubarbrelay.config;

import java.util.Locale;

/** The ways in which a service's requests are spread over its targets. */
public enum Policy {
    /** The policy of the product. */
    SLOTS,
    /** A baseline: a random target. */
    RANDOM,
    /** A baseline: each target in turn. */
    ROUND_ROBIN,
    /** A baseline: the target with the fewest requests in flight. */
    LEAST_IN_FLIGHT,
    /** A baseline: the better of two random targets. */
    POWER_OF_TWO;

    String text() {
        return name().toLowerCase(Locale.ROOT);
    }
}
