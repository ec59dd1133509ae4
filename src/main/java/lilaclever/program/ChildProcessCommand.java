package lilaclever.program;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** Builds the command line that starts this program as a child process. */
final class ChildProcessCommand {
    /** The flags of the platform's start command, except that its memory limits depend on its machine. */
    private static final List<String> FLAGS = List.of(
            "-XX:+UseSerialGC",
            "-XX:TieredStopAtLevel=1",
            "-Xms32m",
            "-Xmx64m",
            "-XX:MaxDirectMemorySize=8m",
            "-Xss256k",
            "-XX:-UsePerfData",
            "-Xshare:auto");

    private ChildProcessCommand() {}

    /** Returns the command line of a sub-command. */
    static List<String> command(String... arguments) {
        List<String> command = new ArrayList<>();
        command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
        command.addAll(FLAGS);
        Path archive = classArchive();
        if (archive != null) {
            command.add("-XX:SharedArchiveFile=" + archive);
        }
        command.addAll(List.of("-cp", absolute(System.getProperty("java.class.path")), Main.class.getName()));
        command.addAll(List.of(arguments));
        return command;
    }

    private static String absolute(String classPath) {
        List<String> parts = new ArrayList<>();
        for (String part : classPath.split(java.io.File.pathSeparator)) {
            parts.add(Path.of(part).toAbsolutePath().toString());
        }
        return String.join(java.io.File.pathSeparator, parts);
    }

    /** Returns the class data archive beside the jar that this process runs from, or null if there is none. */
    private static Path classArchive() {
        String classPath = System.getProperty("java.class.path");
        Path archive = Path.of(classPath.replaceFirst("\\.jar$", ".jsa")).toAbsolutePath();
        return classPath.endsWith(".jar") && java.nio.file.Files.exists(archive) ? archive : null;
    }
}
