package lilaclever.conf;

/** An invalid or missing setting. The message names its key and, if it comes from a file, file and line. */
public final class ConfigurationException extends Exception {
    private static final long serialVersionUID = 1L;

    /** Creates an error about the setting {@code key}. */
    public ConfigurationException(String key, String problem) {
        super(key + ": " + problem);
    }
}
