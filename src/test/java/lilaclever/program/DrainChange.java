package lilaclever.program;

/**
 * A membership change that discovery sends: an endpoint is listed, draining, or no longer listed.
 *
 * @param version discovery's own version after this change; the index of an agent may differ
 */
record DrainChange(long version, String name, String address, int group, Status status) {
    enum Status {
        ACTIVE("active"),
        LEAVING("leaving"),
        LEFT("left");

        final String text;

        Status(String text) {
            this.text = text;
        }
    }

    /** The target of calls: a group at an address. */
    record Target(String address, int group) {}

    Target target() {
        return new Target(address, group);
    }

    boolean isActive() {
        return status == Status.ACTIVE;
    }

    /** The list entry in the protocol's form. */
    String json() {
        return "{\"name\":\"" + name + "\",\"address\":\"" + address + "\",\"zone\":\"z\",\"type\":\"lab\",\"group\":"
                + group + ",\"status\":\"" + status.text + "\",\"weight\":1.0,\"since_ms\":0}";
    }
}
