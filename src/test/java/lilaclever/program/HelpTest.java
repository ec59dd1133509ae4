package lilaclever.program;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;
import org.kohsuke.args4j.spi.SubCommand;
import org.kohsuke.args4j.spi.SubCommands;

/** The help texts of the program and of each sub-command. */
class HelpTest {
    private static String help(String... args) {
        assertTrue(Help.isWanted(args));
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        Help.print(args, new PrintStream(out, true, StandardCharsets.UTF_8));
        return out.toString(StandardCharsets.UTF_8);
    }

    /** Guards against a sub-command that is missing from the help. */
    @Test
    void eachSubCommandHasHelpWithAnExample() throws Exception {
        String all = help("--help");
        for (SubCommand c : Main.class
                .getDeclaredField("command")
                .getAnnotation(SubCommands.class)
                .value()) {
            assertTrue(all.contains("  " + c.name() + ' '), c.name());
            String one = help(c.name(), "--help");
            assertTrue(
                    one.startsWith(c.name() + ": ")
                            && one.contains("example")
                            && one.contains("lilaclever.jar " + c.name()),
                    one);
        }
    }

    @Test
    void helpListsOptions() {
        assertTrue(help("rehearse", "-h").contains("--seed N"));
        assertTrue(help("help", "serve").contains("--conf FILE"));
        assertFalse(Help.isWanted(new String[] {"version"}));
    }
}
