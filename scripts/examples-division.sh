# Example commands of the Division's deployment, in `commands`; sourced by run-deployment.sh.
source "$root/scripts/examples-common.sh"
mapfile -t commands < <(
    chat "$callers" quote quote-writer 'Arch in coral for 80 guests.' false
    chat "$second" quote quote-writer 'Arch in teal for 40 guests.' true
    chat "$callers" classify order-desk 'Naming ceremony in Lekki' false
    call "$callers" deposit order-4711 '{"order":4711,"amount_ngn":50000}'
    call "$second" deposit order-4711 '{"order":4711,"amount_ngn":50000}'
    call "$callers" order-status any '{"order":4711}'
    administration
)
