import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import org.rhubarbrelay.config.Document;
import org.rhubarbrelay.config.Limits;
import org.rhubarbrelay.config.Route;
import org.rhubarbrelay.config.Service;
import org.rhubarbrelay.config.Tenant;

/** Tests the configuration library against golden files, which the Go tests parse as well. */
public final class ConfigTest {
    private static final Limits LIMITS = new Limits(16384, 64 << 20, Duration.ofSeconds(3), Duration.ofSeconds(15));

    private ConfigTest() {
    }

    public static void main(String[] args) throws Exception {
        if (args.length == 3 && args[0].equals("--write")) {
            document(args[1]).writeTo(Path.of(args[2]));
            return;
        }
        Path golden = Path.of(args[0]);
        compare(golden.resolve("kessler.ini"), document("kessler"));
        compare(golden.resolve("hanbit.ini"), document("hanbit"));
        compare(golden.resolve("tenants.ini"), document("tenants"));
        compare(golden.resolve("no_tenants.ini"), document("no_tenants"));
        rejectsInvalidValues();
        routesAreImmutable();
        System.out.println("java: all tests passed");
    }

    private static Document document(String example) {
        return switch (example) {
            case "kessler" -> kessler();
            case "hanbit" -> hanbit();
            case "no_tenants" -> tenants().withTenants(List.of());
            default -> tenants();
        };
    }

    private static Document kessler() {
        Service spoolkeep = Service.named("spoolkeep", "/healthz").withMaxConnections(220);
        Service dispatchdesk = Service.named("dispatchdesk", "/healthz").withMaxConnections(220);
        String host = "hemtape.example";
        return Document.of(LIMITS, List.of(spoolkeep, dispatchdesk), List.of(
                Route.of(host, "/spools/", Duration.ofMillis(1500)).named("stock-look").idempotent()
                        .withObjective(Duration.ofMillis(400)).withAttempts(2).withPriority(2).to(spoolkeep),
                Route.of(host, "/reservations/", Duration.ofSeconds(2)).named("spool-hold")
                        .withObjective(Duration.ofMillis(500)).withAttempts(2).withPriority(1).to(spoolkeep),
                Route.of(host, "/dispatches/", Duration.ofSeconds(1)).withObjective(Duration.ofMillis(300))
                        .withAttempts(2).to(dispatchdesk, 90).to(spoolkeep, 10)));
    }

    private static Document hanbit() {
        Service ordering = Service.named("ordering", "/health/ready");
        Service finishing = Service.named("finishing", "/health/ready").withMaxConnections(200);
        return Document.of(LIMITS, List.of(ordering, finishing), List.of(
                Route.of("proofs.example", "/", Duration.ofMinutes(2)).idempotent().to(ordering),
                Route.of("orders.example", "/", Duration.ofMillis(1250)).to(ordering, 1).to(finishing, 0)));
    }

    private static Document tenants() {
        Service ordering = Service.named("ordering", "/health/ready");
        return Document.of(LIMITS, List.of(ordering), List.of(
                Route.of("orders.example", "/", Duration.ofSeconds(1)).to(ordering),
                Route.of("orders.example", "/catalogue/", Duration.ofSeconds(1)).idempotent().open().to(ordering)))
                .withTenants(List.of(
                        Tenant.of("sulobe511", "hacruddedev3nax7u27g"),
                        Tenant.of("cuka620", "mgjqnirth5mgjy5rcpih").withKey("b6onqzy3v8w2k4t7rxd1").withPriority(1)
                                .withQuota(319, 20.5)));
    }

    /**
     * Guards against a text form that differs from the golden file. The Go
     * parser, which is tested with the same file, could reject it, and operators
     * would review a form that they do not expect.
     */
    private static void compare(Path golden, Document document) throws Exception {
        String want = Files.readString(golden, StandardCharsets.UTF_8);
        if (!want.equals(document.toString())) {
            throw new AssertionError(golden + " differs from the text of the document:\n" + document);
        }
    }

    /**
     * Guards against invalid values that the library accepts: they would be
     * rejected only after the review, when the file is published.
     */
    private static void rejectsInvalidValues() {
        Service service = Service.named("s", "/h");
        Route route = Route.of("a.example", "/", Duration.ofSeconds(1));
        assertRejected("name of a service", () -> Service.named("a b", "/h"));
        assertRejected("health path", () -> Service.named("s", "h"));
        assertRejected("connections", () -> service.withMaxConnections(0));
        assertRejected("host", () -> Route.of("a/b", "/", Duration.ofSeconds(1)));
        assertRejected("prefix without slash", () -> Route.of("a.example", "/x", Duration.ofSeconds(1)));
        assertRejected("timeout", () -> Route.of("a.example", "/", Duration.ZERO));
        assertRejected("attempts", () -> route.withAttempts(0));
        assertRejected("negative weight", () -> route.to(service, -1));
        assertRejected("service twice in a route", () -> route.to(service).to(service));
        assertRejected("limits", () -> new Limits(0, 1, Duration.ofSeconds(1), Duration.ofSeconds(1)));
        assertRejected("route without service", () -> Document.of(LIMITS, List.of(service), List.of(route)));
        assertRejected("unknown service", () -> Document.of(LIMITS, List.of(), List.of(route.to(service))));
        assertRejected("service twice",
                () -> Document.of(LIMITS, List.of(service, service), List.of(route.to(service))));
        Tenant tenant = Tenant.of("t", "mgjqnirth5mgjy5rcpih");
        Document document = Document.of(LIMITS, List.of(service), List.of(route.to(service)));
        assertRejected("short key", () -> tenant.withKey("short"));
        assertRejected("key with a comma", () -> tenant.withKey("mgjqnirth5,mgjy5rcpih"));
        assertRejected("key twice", () -> tenant.withKey("mgjqnirth5mgjy5rcpih"));
        assertRejected("name of a tenant", () -> Tenant.of("a b", "mgjqnirth5mgjy5rcpih"));
        assertRejected("quota", () -> tenant.withQuota(Double.NaN, 0));
        assertRejected("tenant twice", () -> document.withTenants(List.of(tenant, tenant)));
        assertRejected("key of another tenant",
                () -> document.withTenants(List.of(tenant, Tenant.of("u", "mgjqnirth5mgjy5rcpih"))));
        assertRejected("route twice",
                () -> Document.of(LIMITS, List.of(service), List.of(route.to(service), route.to(service))));
    }

    private static void assertRejected(String what, Runnable build) {
        try {
            build.run();
        } catch (IllegalArgumentException expected) {
            if (expected.getMessage().contains("mgjy5rcpih")) {
                throw new AssertionError(what + ": the message contains an API key");
            }
            return;
        }
        throw new AssertionError(what + " was accepted");
    }

    /**
     * Guards against a document that changes when a route is derived from one
     * of its routes, which happens if a method changes the route instead of
     * returning a changed copy.
     */
    private static void routesAreImmutable() {
        Service service = Service.named("s", "/h");
        Route route = Route.of("a.example", "/", Duration.ofSeconds(1)).to(service);
        Document document = Document.of(LIMITS, List.of(service), List.of(route));
        String before = document.toString();
        route.idempotent().withAttempts(3).to(Service.named("other", "/h"));
        if (!before.equals(document.toString())) {
            throw new AssertionError("changing a copy of a route changed the document");
        }
    }
}
