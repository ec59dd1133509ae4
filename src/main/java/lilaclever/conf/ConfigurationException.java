package lilaclever.conf;

/** A setting that can't be used; the message names the key at fault, and its place where it came from a file. */
public final class ConfigurationException extends Exception {
    private static final long serialVersionUID = 1L;

    /** {@code key}: what is at fault. */
    public ConfigurationException(String key, String problem) {
        super(key + ": " + problem);
    }
}
