package org.rhubarbrelay.config;

import java.math.BigDecimal;
import java.time.Duration;

/**
 * Formats durations like {@code time.Duration.String} of Go, such as {@code 40ms}, {@code 1.5s} and
 * {@code 1m30s}.
 */
final class Durations {
    private static final long MICROSECOND = 1_000;
    private static final long MILLISECOND = 1_000_000;
    private static final long SECOND = 1_000_000_000;

    private Durations() {
    }

    static String format(Duration duration) {
        long nanos = duration.toNanos();
        if (nanos == 0) {
            return "0s";
        }
        if (nanos < MICROSECOND) {
            return nanos + "ns";
        }
        if (nanos < MILLISECOND) {
            return decimal(nanos, 3) + "\u00b5s";
        }
        if (nanos < SECOND) {
            return decimal(nanos, 6) + "ms";
        }
        long minutes = nanos / (60 * SECOND);
        String seconds = decimal(nanos % (60 * SECOND), 9) + "s";
        if (minutes == 0) {
            return seconds;
        }
        if (minutes < 60) {
            return minutes + "m" + seconds;
        }
        return minutes / 60 + "h" + minutes % 60 + "m" + seconds;
    }

    private static String decimal(long nanos, int places) {
        if (nanos == 0) {
            return "0";
        }
        return BigDecimal.valueOf(nanos, places).stripTrailingZeros().toPlainString();
    }
}
