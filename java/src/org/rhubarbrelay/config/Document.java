package org.rhubarbrelay.config;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/** A complete configuration, as operators review and publish it. */
public final class Document {
    /** Maximum size of a configuration file that the rhubarbrelay command accepts. */
    private static final int MAX_BYTES = 4 << 20;

    private final Limits limits;
    private final List<Tenant> tenants;
    private final List<Service> services;
    private final List<Route> routes;

    private final boolean keysRequired;

    private Document(Limits limits, boolean keysRequired, List<Tenant> tenants, List<Service> services, List<Route> routes) {
        this.limits = limits;
        this.keysRequired = keysRequired;
        this.tenants = tenants;
        this.services = services;
        this.routes = routes;
    }

    /**
     * Returns a document whose services are sorted by name and whose routes are sorted by host and
     * prefix.
     *
     * @throws IllegalArgumentException if a service or a route occurs twice, or a route has no service
     *         or an undefined one
     */
    public static Document of(Limits limits, List<Service> services, List<Route> routes) {
        Set<String> names = new HashSet<>();
        for (Service service : services) {
            addUnique(names, service.name(), "service ");
        }
        Set<String> keys = new HashSet<>();
        for (Route route : routes) {
            addUnique(keys, route.key(), "route ");
            if (route.services().isEmpty() || !names.containsAll(route.services())) {
                throw new IllegalArgumentException("route " + route.key() + ": services " + route.services()
                        + ": at least one is needed, and all of them must be defined");
            }
        }
        return new Document(limits, false, List.of(), services.stream().sorted(Comparator.comparing(Service::name)).toList(),
                routes.stream().sorted(Comparator.comparing(Route::key)).toList());
    }

    /**
     * Returns a copy with the given tenants, sorted by name. Requests of routes that are not public then
     * need an API key. With an empty list, no key is valid.
     *
     * @throws IllegalArgumentException if a tenant occurs twice, or two tenants have the same key
     */
    public Document withTenants(List<Tenant> values) {
        Set<String> names = new HashSet<>();
        Set<String> keys = new HashSet<>();
        for (Tenant tenant : values) {
            addUnique(names, tenant.name(), "tenant ");
            if (!Collections.disjoint(keys, tenant.keys())) {
                throw new IllegalArgumentException("tenant " + tenant.name() + " has an API key of another tenant");
            }
            keys.addAll(tenant.keys());
        }
        return new Document(limits, true, values.stream().sorted(Comparator.comparing(Tenant::name)).toList(), services,
                routes);
    }

    private static void addUnique(Set<String> seen, String name, String kind) {
        if (!seen.add(name)) {
            throw new IllegalArgumentException(kind + name + " appears twice");
        }
    }

    /**
     * Returns the document in the format of a configuration file, which operators review. It contains
     * the API keys of the tenants.
     */
    @Override
    public String toString() {
        StringBuilder out = new StringBuilder();
        limits.print(out);
        if (keysRequired && tenants.isEmpty()) {
            out.append("\n[tenants]\nkeys_required = true\n");
        }
        for (Tenant tenant : tenants) {
            tenant.print(out.append('\n'));
        }
        for (Service service : services) {
            service.print(out.append('\n'));
        }
        for (Route route : routes) {
            route.print(out.append('\n'));
        }
        return out.toString();
    }

    /** Writes the document to a UTF-8 file. */
    public void writeTo(Path file) throws IOException {
        byte[] text = toString().getBytes(StandardCharsets.UTF_8);
        if (text.length > MAX_BYTES) {
            throw new IOException("document of " + text.length + " bytes is larger than " + MAX_BYTES + " bytes");
        }
        Files.write(file, text);
    }
}
