package org.rhubarbrelay.config;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/** A document of one or more services, as it is reviewed and published. */
public final class Document {
    private static final int MAX_BYTES = 1 << 20;

    private final List<Service> services;

    private Document(List<Service> services) {
        this.services = services;
    }

    /** Returns a document, or throws IllegalArgumentException when services share a name or an address. */
    public static Document of(Service... services) {
        Set<String> seen = new HashSet<>();
        for (Service service : services) {
            once(seen, "service " + service.name());
            for (Target target : service.targets()) {
                once(seen, "address " + target.address());
            }
        }
        return new Document(List.of(services));
    }

    private static void once(Set<String> seen, String thing) {
        if (!seen.add(thing)) {
            throw new IllegalArgumentException(thing + " appears twice");
        }
    }

    /** Returns the document in the canonical text form. */
    @Override
    public String toString() {
        StringBuilder out = new StringBuilder();
        for (Service service : services) {
            if (out.length() > 0) {
                out.append('\n');
            }
            out.append(service);
        }
        return out.toString();
    }

    /** Writes the document to a file in UTF-8. */
    public void writeTo(Path file) throws IOException {
        byte[] text = toString().getBytes(StandardCharsets.UTF_8);
        if (text.length > MAX_BYTES) {
            throw new IOException("document of " + text.length + " bytes is larger than " + MAX_BYTES + " bytes");
        }
        Files.write(file, text);
    }
}
