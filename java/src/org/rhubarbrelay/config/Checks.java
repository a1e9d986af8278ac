package org.rhubarbrelay.config;

import java.time.Duration;
import java.util.regex.Pattern;

/**
 * Validates the values of a configuration. The rhubarbrelay command and the daemon validate the
 * configuration again and have limits of their own.
 */
final class Checks {
    static final int MAX_COUNT = 1_000_000;
    static final int MAX_ATTEMPTS = 100;
    private static final Duration MAX_DURATION = Duration.ofHours(1);
    private static final int MAX_PATH_LENGTH = 1024;
    private static final Pattern NAME = Pattern.compile("[a-z0-9._-]{1,64}");
    private static final Pattern PATH = Pattern.compile("/[!-~&&[^\\[\\]?#\"`]]*");

    private Checks() {
    }

    static String name(String kind, String name) {
        if (name == null || !NAME.matcher(name).matches()) {
            throw new IllegalArgumentException(kind + " name \"" + name
                    + "\": must have 1 to 64 characters of a-z, 0-9, dot, underscore and hyphen");
        }
        return name;
    }

    static String path(String path) {
        if (path == null || path.length() > MAX_PATH_LENGTH || !PATH.matcher(path).matches()) {
            throw new IllegalArgumentException("path \"" + path + "\": must start with \"/\", have at most "
                    + MAX_PATH_LENGTH + " printable ASCII characters and none of []?#\"`");
        }
        return path;
    }

    static Duration duration(String key, Duration value) {
        if (value == null || value.isZero() || value.isNegative() || value.compareTo(MAX_DURATION) > 0) {
            throw new IllegalArgumentException(key + " " + value + ": must be greater than 0 and at most 1 hour");
        }
        return value;
    }

    static double figure(String key, double value) {
        if (!Double.isFinite(value) || value < 0 || value > MAX_COUNT) {
            throw new IllegalArgumentException(key + " " + value + ": must be from 0 to " + MAX_COUNT);
        }
        return value;
    }

    static int range(String key, int value, int lowest, int highest) {
        if (value < lowest || value > highest) {
            throw new IllegalArgumentException(key + " " + value + ": must be from " + lowest + " to " + highest);
        }
        return value;
    }
}
