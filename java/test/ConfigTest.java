import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import org.rhubarbrelay.config.Document;
import org.rhubarbrelay.config.Method;
import org.rhubarbrelay.config.Policy;
import org.rhubarbrelay.config.Route;
import org.rhubarbrelay.config.Service;
import org.rhubarbrelay.config.Target;

/** Tests the operators' library against golden files that the Go parser reads as well. */
public final class ConfigTest {
    private static final String[] KESSLER_ZONES = {"mid-a", "mid-b", "mid-c"};
    private static final String[] HANBIT_ZONES = {"seoul-a", "seoul-b", "seoul-c"};

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
        durations();
        addresses();
        refusals();
        laterChangesOfBuilder();
        System.out.println("java: all tests passed");
    }

    private static Document document(String user) {
        return user.equals("kessler") ? kessler() : hanbit();
    }

    private static Document kessler() {
        Service.Builder spoolkeep = Service.named("spoolkeep")
                .deadline(Duration.ofMillis(1500))
                .route(Route.of(Method.GET, "/spools").idempotent())
                .route(Route.of(Method.POST, "/reservations").nonIdempotent())
                .route(Route.of(Method.POST, "/reservations/batch").nonIdempotent().longRunning()
                        .withDeadline(Duration.ofSeconds(90)));
        addTargets(spoolkeep, "sk", 1, 20, 4, KESSLER_ZONES);
        Service.Builder dispatchdesk = Service.named("dispatchdesk")
                .deadline(Duration.ofSeconds(2))
                .maxQueue(128)
                .singlePrimary()
                .route(Route.of(Method.GET, "/dispatches").idempotent())
                .route(Route.of(Method.PUT, "/dispatches").idempotent());
        addTargets(dispatchdesk, "dd", 2, 6, 4, KESSLER_ZONES);
        return Document.of(spoolkeep.build(), dispatchdesk.build());
    }

    private static Document hanbit() {
        Service.Builder ordering = Service.named("ordering")
                .deadline(Duration.ofSeconds(3))
                .entryPerZone(2)
                .probeInterval(Duration.ofSeconds(2))
                .route(Route.of(Method.GET, "/proofs").idempotent())
                .route(Route.of(Method.GET, "/proofs/full").idempotent().longRunning()
                        .withDeadline(Duration.ofSeconds(30)))
                .route(Route.of(Method.POST, "/orders").nonIdempotent());
        addTargets(ordering, "or", 3, 20, 6, HANBIT_ZONES);
        Service.Builder finishing = Service.named("finishing")
                .probeInterval(Duration.ofMillis(2500))
                .route(Route.of(Method.GET, "/schedules").idempotent())
                .route(Route.of(Method.POST, "/settlements").nonIdempotent());
        addTargets(finishing, "fi", 4, 6, 6, HANBIT_ZONES);
        return Document.of(ordering.build(), finishing.build());
    }

    private static void addTargets(Service.Builder service, String prefix, int subnet, int count, int slots, String[] zones) {
        for (int i = 1; i <= count; i++) {
            service.target(Target.of(String.format("%s-%02d", prefix, i), "127.1." + subnet + "." + i, 9000,
                    zones[(i - 1) % zones.length]).withSlots(slots));
        }
    }

    /** Guards against text that changes although the configuration did not. */
    private static void compare(Path file, Document document) throws Exception {
        String want = Files.readString(file, StandardCharsets.UTF_8);
        equal(file.toString(), document.toString(), want);
        equal(file + " printed again", document.toString(), document.toString());
    }

    /** Guards against durations that the Go parser would print in another way. */
    private static void durations() {
        deadline(Duration.ofNanos(1_500_000_000L), "1.5s");
        deadline(Duration.ofMillis(50), "50ms");
        deadline(Duration.ofNanos(50_250_000), "50.25ms");
        deadline(Duration.ofSeconds(60), "1m0s");
        deadline(Duration.ofSeconds(90), "1m30s");
        deadline(Duration.ofSeconds(3600), "1h0m0s");
        deadline(Duration.ofMillis(86_399_999), "23h59m59.999s");
        Service tiny = Service.named("a").maxWait(Duration.ofNanos(500_500)).build();
        contains(tiny.toString(), "max_wait = 500.5\u00b5s\n");
        contains(Service.named("a").maxWait(Duration.ofNanos(7)).build().toString(), "max_wait = 7ns\n");
    }

    private static void deadline(Duration value, String want) {
        contains(Service.named("a").deadline(value).build().toString(), "\ndeadline = " + want + "\n");
    }

    /** Guards against addresses that the Go parser would print in another way. */
    private static void addresses() {
        address("2001:DB8:0:0:1:0:0:1", "[2001:db8::1:0:0:1]:80");
        address("::1", "[::1]:80");
        address("fe80:0:0:1::", "[fe80:0:0:1::]:80");
        address("2001:db8:1:0:2:3:4:5", "[2001:db8:1:0:2:3:4:5]:80");
    }

    private static void address(String ip, String want) {
        Service service = Service.named("a").target(Target.of("t", ip, 80, "z")).build();
        contains(service.toString(), "\naddress = " + want + "\n");
    }

    /** Guards against documents that the publisher would refuse. */
    private static void refusals() {
        refused(() -> Service.named("Spool"));
        refused(() -> Service.named("a").deadline(Duration.ofMillis(40)).build());
        refused(() -> Service.named("a").deadline(Duration.ZERO));
        refused(() -> Service.named("a").retryPercent(101));
        refused(() -> Service.named("a").policy((Policy) null));
        refused(() -> Target.of("t", "localhost", 80, "z"));
        refused(() -> Target.of("t", "127.0.0.01", 80, "z"));
        refused(() -> Target.of("t", "0.0.0.0", 80, "z"));
        refused(() -> Target.of("t", "127.0.0.1", 0, "z"));
        refused(() -> Target.of("t", "127.0.0.1", 80, "z").withSlots(0));
        refused(() -> Service.named("a").target(target("t").withSlots(201)).build());
        refused(() -> Service.named("a").target(target("t")).target(target("t")).build());
        refused(() -> Service.named("a").target(target("t")).target(target("u")).build());
        refused(() -> Route.of(Method.GET, "orders"));
        refused(() -> Route.of(Method.GET, "/orders list"));
        refused(() -> Service.named("a").route(Route.of(Method.GET, "/")).route(Route.of(Method.GET, "/")).build());
        refused(() -> Document.of(Service.named("a").build(), Service.named("a").build()));
    }

    private static Target target(String name) {
        return Target.of(name, "127.0.0.1", 80, "z");
    }

    /** Guards against a service that changes after it was built. */
    private static void laterChangesOfBuilder() {
        Service.Builder builder = Service.named("a");
        Service service = builder.build();
        String before = service.toString();
        builder.maxQueue(1).target(target("t"));
        equal("service after a change of its builder", service.toString(), before);
    }

    private static void refused(Runnable action) {
        try {
            action.run();
        } catch (IllegalArgumentException e) {
            return;
        }
        throw new AssertionError("invalid value was accepted");
    }

    private static void contains(String text, String want) {
        if (!text.contains(want)) {
            throw new AssertionError("no line \"" + want.strip() + "\" in:\n" + text);
        }
    }

    private static void equal(String what, String got, String want) {
        if (!got.equals(want)) {
            throw new AssertionError(what + " differs, got:\n" + got + "want:\n" + want);
        }
    }
}
