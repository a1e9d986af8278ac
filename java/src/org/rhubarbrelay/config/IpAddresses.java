package org.rhubarbrelay.config;

import java.net.InetAddress;
import java.net.UnknownHostException;
import java.util.regex.Pattern;

/** Writes IP addresses in the canonical form. Host names are refused: no name service is asked. */
final class IpAddresses {
    private static final int GROUPS = 8;
    private static final Pattern IPV4 = Pattern.compile(
            "(?:(?:25[0-5]|2[0-4][0-9]|1[0-9][0-9]|[1-9]?[0-9])(?:\\.(?!$)|$)){4}");
    private static final Pattern IPV6 = Pattern.compile("[0-9a-fA-F:]*:[0-9a-fA-F:]*");

    private IpAddresses() {
    }

    static String canonical(String ip) {
        if (ip != null && IPV4.matcher(ip).matches()) {
            return unicast(ip, parse(ip));
        }
        if (ip == null || !IPV6.matcher(ip).matches()) {
            throw new IllegalArgumentException("address \"" + ip + "\": not an IP address");
        }
        InetAddress address = parse(ip);
        return "[" + unicast(compress(address.getAddress()), address) + "]";
    }

    private static InetAddress parse(String ip) {
        try {
            return InetAddress.getByName(ip);
        } catch (UnknownHostException e) {
            throw new IllegalArgumentException("address \"" + ip + "\": not an IP address", e);
        }
    }

    private static String unicast(String text, InetAddress address) {
        if (address.isAnyLocalAddress() || address.isMulticastAddress()) {
            throw new IllegalArgumentException("address \"" + text + "\": not the address of a host");
        }
        return text;
    }

    /** Writes an IPv6 address with its longest run of two or more zero groups as "::". */
    private static String compress(byte[] address) {
        if (address.length != 2 * GROUPS) {
            throw new IllegalArgumentException("an IPv4 address in IPv6 form is written in IPv4 form");
        }
        int[] groups = new int[GROUPS];
        for (int i = 0; i < GROUPS; i++) {
            groups[i] = (address[2 * i] & 0xff) << 8 | address[2 * i + 1] & 0xff;
        }
        int start = -1;
        int length = 1;
        for (int i = 0; i < GROUPS; i++) {
            int end = i;
            while (end < GROUPS && groups[end] == 0) {
                end++;
            }
            if (end - i > length) {
                start = i;
                length = end - i;
            }
        }
        StringBuilder out = new StringBuilder();
        for (int i = 0; i < GROUPS; i++) {
            if (i == start) {
                out.append("::");
                i += length - 1;
                continue;
            }
            if (out.length() > 0 && out.charAt(out.length() - 1) != ':') {
                out.append(':');
            }
            out.append(Integer.toHexString(groups[i]));
        }
        return out.toString();
    }
}
